import rankByRendezvous from '../shared/rankByRendezvous';
import type LoadTarget from './LoadTarget';

/** Loads that may be in progress or queued on one engine. */
const MAX_PENDING_LOADS = 4;
/** An engine with more than this fraction of its request slots in use gets no further adapter. */
const MAX_FILL_RATIO = 0.8;
/**
 * An engine with more than this multiple of the mean number of in-flight requests gets a further
 * adapter only if no other engine has spare capacity.
 */
const MAX_LOAD_RATIO = 1.25;
/** Differences of a few requests are random. */
const LOAD_SLACK_REQUESTS = 3;
const MAX_WAIT_MS = 150;
/**
 * Engines that are preferred for an adapter, first by rendezvous hashing. An engine that held the
 * adapter recently loads it ten times as fast.
 */
const PREFERRED_TARGETS = 2;

/**
 * Returns the engine that loads an adapter: the first by rendezvous hashing with spare capacity,
 * else the first that can load it at all, or undefined if there is none. Among the preferred
 * engines, one with a free adapter slot comes first. Designed for demand that alternates between
 * many adapters on few adapter slots.
 */
export default function chooseLoadTarget(
  key: string,
  targets: readonly LoadTarget[],
): LoadTarget | undefined {
  const byId = new Map(targets.map((target) => [target.id, target]));
  const ranked = rankByRendezvous(
    key,
    targets.map((target) => target.id),
  ).map((id) => byId.get(id)!);
  const meanInFlight =
    targets.reduce((sum, target) => sum + target.inFlight, 0) / Math.max(1, targets.length);
  const canLoad = (target: LoadTarget) =>
    target.pending < MAX_PENDING_LOADS &&
    target.pending < target.freeAdapterSlots + target.idleAdapterSlots &&
    target.inFlight < target.slots * MAX_FILL_RATIO;
  const hasSpareCapacity = (target: LoadTarget) =>
    canLoad(target) &&
    target.inFlight <= meanInFlight * MAX_LOAD_RATIO + LOAD_SLACK_REQUESTS &&
    target.waitMs <= MAX_WAIT_MS;
  const preferred = ranked.slice(0, PREFERRED_TARGETS).filter(hasSpareCapacity);
  return (
    preferred.find((target) => target.freeAdapterSlots > target.pending) ??
    preferred[0] ??
    ranked.find(hasSpareCapacity) ??
    ranked.find(canLoad)
  );
}
