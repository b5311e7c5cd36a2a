import type Candidate from '../upstream/Candidate';

/** An engine is overloaded above this multiple of the mean number of requests or the mean wait. */
const MAX_LOAD_RATIO = 1.3;
/**
 * Differences of a few requests are random: up to this fraction of the request slots, but not more
 * than `MAX_SLACK_REQUESTS`.
 */
const SLACK_FRACTION = 1 / 16;
const MAX_SLACK_REQUESTS = 4;
/** A request with this much extra wait misses an objective that it would meet elsewhere. */
const MAX_EXTRA_WAIT_MS = 120;
/** A copy is worth its load only if at least this many requests use the adapter. */
const MIN_ADAPTER_REQUESTS = 3;

/**
 * Returns whether to load a frequently used adapter on a further engine: if even the best engine
 * that holds it has many more requests than the others, or longer waits for prefill. Designed for
 * demand that concentrates on a few adapters.
 *
 * @param holder The best engine that holds the adapter.
 * @param mean Mean in-flight requests and prefill wait over the engines of the service.
 * @param adapterInFlight In-flight requests for the adapter on the holder.
 */
export default function isCopyWanted(
  holder: Pick<Candidate, 'inFlight' | 'slots' | 'waitMs'>,
  mean: Pick<Candidate, 'inFlight' | 'waitMs'>,
  adapterInFlight: number,
): boolean {
  // The means are computed from all engines, and most adapters are in no such use.
  if (adapterInFlight < MIN_ADAPTER_REQUESTS) {
    return false;
  }
  const slack = Math.min(MAX_SLACK_REQUESTS, holder.slots * SLACK_FRACTION);
  return (
    holder.inFlight > mean.inFlight * MAX_LOAD_RATIO + slack ||
    holder.waitMs > mean.waitMs * MAX_LOAD_RATIO + MAX_EXTRA_WAIT_MS
  );
}
