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

/** Loads that may wait for an adapter slot of one engine. */
const MAX_WAITING_LOADS = 4;
/** Time after which one of an engine's adapter slots usually becomes free, while all are in use. */
const SLOT_INTERVAL_MS = 200;

/**
 * Returns the engine that loads an adapter: the first by rendezvous hashing with spare capacity,
 * else the one at which a request begins first, after the waits for an adapter slot and for prefill;
 * undefined if too many loads wait everywhere. Among the preferred engines, one with a free adapter
 * slot comes first. Designed for demand that alternates between many adapters on few adapter slots.
 * The load of an engine counts by its speed, so that a fast one carries more adapters.
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
  const meanLoad =
    targets.reduce((sum, target) => sum + getLoad(target), 0) / Math.max(1, targets.length);
  const hasSpareCapacity = (target: LoadTarget) =>
    target.pending < MAX_PENDING_LOADS &&
    getWaitingLoads(target) === 0 &&
    target.inFlight < target.slots * MAX_FILL_RATIO &&
    getLoad(target) <= meanLoad * MAX_LOAD_RATIO + LOAD_SLACK_REQUESTS &&
    target.waitMs <= MAX_WAIT_MS;
  const preferred = ranked.slice(0, PREFERRED_TARGETS).filter(hasSpareCapacity);
  return (
    preferred.find((target) => target.freeAdapterSlots > target.pending) ??
    preferred[0] ??
    ranked.find(hasSpareCapacity) ??
    getFirstToBegin(ranked)
  );
}

/** Returns the requests in flight of an engine, as many as are as much work for the median engine. */
function getLoad({ inFlight, duration = 1 }: LoadTarget): number {
  return inFlight * duration;
}

/** Returns the loads that an adapter waits for on an engine before one of its slots is free. */
function getWaitingLoads({ pending, freeAdapterSlots, idleAdapterSlots }: LoadTarget): number {
  return Math.max(0, pending + 1 - freeAdapterSlots - idleAdapterSlots);
}

function getFirstToBegin(ranked: readonly LoadTarget[]): LoadTarget | undefined {
  const getBeginMs = (target: LoadTarget) =>
    getWaitingLoads(target) * SLOT_INTERVAL_MS + target.waitMs * (target.duration ?? 1);
  return ranked
    .filter(
      (target) =>
        target.inFlight < target.slots * MAX_FILL_RATIO &&
        getWaitingLoads(target) <= MAX_WAITING_LOADS,
    )
    .reduce<LoadTarget | undefined>(
      (best, target) => (best && getBeginMs(best) <= getBeginMs(target) ? best : target),
      undefined,
    );
}
