import type Route from '../manifest/Route';
import type PlannedStop from './PlannedStop';

/**
 * Returns whether a VM that stops still takes a request: it must be able to end before the process
 * exits, whatever its upstream does. A stream seldom lasts as long as its timeout, and is taken as
 * long as callers may not know another address yet.
 */
export default function isAdmittedBeforeExit(
  now: number,
  plannedStop: PlannedStop,
  kind: Route['kind'],
  timeoutMs: number,
): boolean {
  return (
    now + timeoutMs <= plannedStop.endsAt ||
    (kind === 'stream' && now < plannedStop.addressesExpireAt)
  );
}
