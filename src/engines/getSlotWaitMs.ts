import type ActiveRequest from '../gateway/ActiveRequest';
import getPrefillMs from '../prefill/getPrefillMs';

/** Duration of a load from the adapter store. */
const LOAD_MS = 250;
/** Part of the time to the first event that passes on the way. */
const FIRST_EVENT_MARGIN_MS = 80;
/** A request that is late already still waits for slots that become free soon. */
const MIN_WAIT_MS = 250;

/**
 * Returns how long the load for a request may wait for an adapter slot, in milliseconds: as long as
 * its first event can still arrive within the latency objective.
 */
export default function getSlotWaitMs(
  now: number,
  { route, callerRequest, arrivedAt, deadlineAt }: ActiveRequest,
): number {
  const spentMs = now - arrivedAt;
  const inTimeMs =
    route.latencyObjectiveMs -
    spentMs -
    LOAD_MS -
    getPrefillMs(callerRequest.promptTokens) -
    FIRST_EVENT_MARGIN_MS;
  return Math.round(Math.min(Math.max(MIN_WAIT_MS, inTimeMs), Math.max(0, deadlineAt - now)));
}
