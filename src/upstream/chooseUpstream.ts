import type Candidate from './Candidate';
import getExpectedCost from './getExpectedCost';

/** Added load cost of an upstream with a failure rate of 1, as a multiple of its load cost. */
const FAILURE_COST_FACTOR = 6;
/**
 * Added cost of an upstream in another data centre, as a fraction of the cost of a full upstream.
 */
const DISTANCE_COST = 0.1;
/** Prefill wait that costs as much as a full upstream. */
const FULL_WAIT_MS = 400;

/**
 * Returns the candidate with the lowest cost, computed from in-flight requests, speed, failure
 * rate, prefill wait and distance. Suspended candidates are used only if there are no others, and
 * those at their pace only if all are. Where upstreams state their load, the cost is the time until
 * the request is expected to end.
 */
export default function chooseUpstream(
  candidates: readonly Candidate[],
  dataCentre: string,
): Candidate | undefined {
  const unsuspended = candidates.filter((candidate) => !candidate.isSuspended);
  const available = unsuspended.length > 0 ? unsuspended : candidates;
  const belowPace = available.filter((candidate) => !candidate.isAtPace);
  const isLoadStated = available.some((candidate) => candidate.isLoadStated);
  const getLoadCost = (candidate: Candidate) =>
    isLoadStated
      ? getExpectedCost(candidate)
      : ((candidate.inFlight + 1) / candidate.slots) * candidate.relativeLatency;
  const getCost = (candidate: Candidate) =>
    getLoadCost(candidate) * (1 + FAILURE_COST_FACTOR * candidate.failureRate) +
    (candidate.waitMs / FULL_WAIT_MS) * (isLoadStated ? (candidate.duration ?? 1) : 1) +
    (candidate.dataCentre === dataCentre ? 0 : DISTANCE_COST);
  let best: Candidate | undefined;
  let bestCost = Infinity;
  (belowPace.length > 0 ? belowPace : available).forEach((candidate) => {
    const cost = getCost(candidate);
    if (best === undefined || cost < bestCost) {
      best = candidate;
      bestCost = cost;
    }
  });
  return best;
}
