import type Candidate from './Candidate';

/** A failing upstream costs as much as this many times its load. */
const FAILURE_COST = 6;
/** Another data centre costs as much as this share of a full upstream. */
const DISTANCE_COST = 0.1;
/** Waiting this long costs as much as a full upstream. */
const FULL_WAIT_MS = 400;

/**
 * Chooses the upstream where a request costs least: few requests in progress, seldom failing,
 * fast, in this data centre. Suspended ones only where there is no other.
 */
export default function chooseUpstream(
  candidates: readonly Candidate[],
  dataCentre: string,
): Candidate | undefined {
  const sound = candidates.filter((candidate) => !candidate.isSuspended);
  const getCost = (candidate: Candidate) =>
    ((candidate.inFlight + 1) / candidate.slots) *
      candidate.slowness *
      (1 + FAILURE_COST * candidate.failureShare) +
    candidate.waitMs / FULL_WAIT_MS +
    (candidate.dataCentre === dataCentre ? 0 : DISTANCE_COST);
  return (sound.length > 0 ? sound : candidates).reduce<Candidate | undefined>(
    (best, candidate) =>
      best === undefined || getCost(candidate) < getCost(best) ? candidate : best,
    undefined,
  );
}
