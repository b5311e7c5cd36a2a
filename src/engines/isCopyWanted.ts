import type Candidate from '../upstream/Candidate';

/** An adapter earns a copy where its engine has this many times the mean of requests in progress. */
const COPY_LOAD = 1.3;
/** Differences of a few requests are chance: this part of the slots, but not more than a few. */
const SLACK_SHARE = 1 / 16;
const MAX_SLACK = 4;
/** Prompts that wait this much longer than elsewhere make a request late that would be on time there. */
const COPY_WAIT_MS = 120;
/** A copy pays when at least so many requests share it. */
const MIN_COPY_USE = 3;

/**
 * Decides whether a much used adapter is loaded on a further engine: where even the best engine
 * that holds it has much more to do than the others, or lets prompts wait. Answers demand that
 * gathers on a few adapters.
 *
 * @param holder The best engine that holds the adapter.
 * @param mean Requests in progress and waits at the engines of the service, on average.
 * @param use Requests in progress for the adapter at the holder.
 */
export default function isCopyWanted(
  holder: Pick<Candidate, 'inFlight' | 'slots' | 'waitMs'>,
  mean: Pick<Candidate, 'inFlight' | 'waitMs'>,
  use: number,
): boolean {
  const slack = Math.min(MAX_SLACK, holder.slots * SLACK_SHARE);
  const isLoaded =
    holder.inFlight > mean.inFlight * COPY_LOAD + slack ||
    holder.waitMs > mean.waitMs * COPY_LOAD + COPY_WAIT_MS;
  return isLoaded && use >= MIN_COPY_USE;
}
