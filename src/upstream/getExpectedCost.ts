import type Candidate from './Candidate';

/** Part of the cost of a full upstream that its own work takes, whatever its load. */
const WORK_COST = 0.5;

/**
 * Returns the expected time until an upstream ends a further request, apart from waits for prefill, as
 * a multiple of about that at a median upstream that is 0.4 full. It grows faster than the load, as
 * requests beyond the slots wait for others. The weights were chosen by `playChoices`.
 */
export default function getExpectedCost({
  inFlight,
  slots,
  duration = 1,
}: Pick<Candidate, 'inFlight' | 'slots' | 'duration'>): number {
  const fill = (inFlight + 1) / slots;
  return duration * (WORK_COST + fill + fill * fill);
}
