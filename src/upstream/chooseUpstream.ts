import type Candidate from './Candidate';

/** Added load cost of an upstream with a failure rate of 1, as a multiple of its load cost. */
const FAILURE_COST_FACTOR = 6;
/**
 * Added cost of an upstream in another data centre, as a fraction of the cost of a full upstream.
 */
const DISTANCE_COST = 0.1;
/** Prefill wait that costs as much as a full upstream. */
const FULL_WAIT_MS = 400;

/**
 * Returns the candidate with the lowest cost, computed from in-flight requests, latency, failure
 * rate, prefill wait and distance. Suspended candidates are used only if there are no others.
 */
export default function chooseUpstream(
  candidates: readonly Candidate[],
  dataCentre: string,
): Candidate | undefined {
  const available = candidates.filter((candidate) => !candidate.isSuspended);
  const getCost = (candidate: Candidate) =>
    ((candidate.inFlight + 1) / candidate.slots) *
      candidate.relativeLatency *
      (1 + FAILURE_COST_FACTOR * candidate.failureRate) +
    candidate.waitMs / FULL_WAIT_MS +
    (candidate.dataCentre === dataCentre ? 0 : DISTANCE_COST);
  return (available.length > 0 ? available : candidates).reduce<Candidate | undefined>(
    (best, candidate) =>
      best === undefined || getCost(candidate) < getCost(best) ? candidate : best,
    undefined,
  );
}
