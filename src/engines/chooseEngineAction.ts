import type AdapterSlot from './AdapterSlot';
import type LoadRequest from './LoadRequest';

/**
 * VMs report at once when they begin or end to use an adapter. An adapter that was used more recently
 * may still be in use, by reports that are on their way.
 */
const MIN_IDLE_MS = 100;
/** Interval at which loads that wait for an adapter slot are looked at again. */
const SLOT_CHECK_MS = 50;

interface EngineView {
  slots: readonly AdapterSlot[];
  loadRequests: readonly LoadRequest[];
  /** Number of slots that may be filled. */
  adapterSlots: number;
  /** Number of slots beyond which idle adapters are unloaded without a load that needs one. */
  maxFilledSlots: number;
  /** Number of loads that may be in progress at once. */
  maxConcurrentLoads: number;
  /** Expected time between two adapter slots that become free while all are in use. */
  slotIntervalMs: number;
  /** Returns an adapter's in-flight requests on this engine and the time of its last use. */
  getUse(key: string): { inFlight: number; lastUsedAt: number };
  /** Returns the version that requests must run on. */
  getVersion(key: string): number;
}

type EngineAction =
  | { kind: 'confirm'; slot: AdapterSlot }
  | { kind: 'load'; request: LoadRequest }
  | { kind: 'unload'; slot: AdapterSlot }
  | { kind: 'drop'; request: LoadRequest; reason: 'full' | 'expired' }
  | { kind: 'wait'; untilMs: number }
  | { kind: 'none' };

/**
 * Returns the next action for an engine. Loads are started by urgency, then by age, each in a free
 * adapter slot or after the eviction of the least recently used idle adapter. While all slots are in
 * use, loads wait for one, unless they are expected to get none in time. Designed for demand for many
 * adapters on few adapter slots.
 */
export default function chooseEngineAction(now: number, view: EngineView): EngineAction {
  const dueLoad = view.slots.find((slot) => slot.state === 'loading' && slot.dueAt <= now);
  if (dueLoad) {
    return { kind: 'confirm', slot: dueLoad };
  }
  const unloading = view.slots.filter((slot) => slot.state === 'leaving');
  const dueUnload = unloading.find((slot) => slot.dueAt <= now);
  if (dueUnload) {
    return { kind: 'unload', slot: dueUnload };
  }
  const expired = view.loadRequests.find((request) => request.expiresAt <= now);
  if (expired) {
    return { kind: 'drop', request: expired, reason: 'expired' };
  }
  const excess = view.slots.length > view.maxFilledSlots ? tryGetVictim(now, view) : undefined;
  if (excess) {
    return { kind: 'unload', slot: excess };
  }
  const loading = view.slots.filter((slot) => slot.state === 'loading');
  const queue = sortByUrgency(view.loadRequests);
  const [nextRequest] = loading.length < view.maxConcurrentLoads ? queue : [];
  let isWaitingForSlot = false;
  if (nextRequest) {
    const existingSlot = view.slots.find((slot) => slot.key === nextRequest.key);
    if (existingSlot?.state === 'resident' && view.getUse(nextRequest.key).inFlight === 0) {
      return { kind: 'load', request: nextRequest };
    }
    if (existingSlot) {
      return { kind: 'drop', request: nextRequest, reason: 'full' };
    }
    if (view.slots.length < view.adapterSlots) {
      return { kind: 'load', request: nextRequest };
    }
    const victim = tryGetVictim(now, view);
    if (victim) {
      return { kind: 'unload', slot: victim };
    }
    const hopeless = tryGetHopeless(now, view, queue);
    if (hopeless) {
      return { kind: 'drop', request: hopeless, reason: 'full' };
    }
    isWaitingForSlot = true;
  }
  const nextDue = Math.min(
    ...[...loading, ...unloading].map((slot) => slot.dueAt),
    isWaitingForSlot ? now + SLOT_CHECK_MS : Infinity,
  );
  return Number.isFinite(nextDue) ? { kind: 'wait', untilMs: nextDue } : { kind: 'none' };
}

/** Returns a load that is not expected to get an adapter slot before it expires. */
function tryGetHopeless(
  now: number,
  view: EngineView,
  queue: readonly LoadRequest[],
): LoadRequest | undefined {
  const soonFree = view.slots.filter(
    ({ state, key }) =>
      (state === 'resident' || state === 'leaving') && view.getUse(key).inFlight === 0,
  ).length;
  return queue.find((request, index) => {
    const slotsToWaitFor = Math.max(0, index + 1 - soonFree);
    return now + slotsToWaitFor * view.slotIntervalMs > request.expiresAt;
  });
}

function sortByUrgency(loadRequests: readonly LoadRequest[]): LoadRequest[] {
  return [...loadRequests].sort(
    (left, right) => left.urgency - right.urgency || left.since - right.since,
  );
}

/** Returns the adapter to evict: an idle one, outdated versions first, then by last use. */
function tryGetVictim(now: number, view: EngineView): AdapterSlot | undefined {
  return view.slots
    .filter((slot) => slot.state === 'resident')
    .map((slot) => ({
      slot,
      use: view.getUse(slot.key),
      isOutdated: slot.version < view.getVersion(slot.key),
    }))
    .filter(({ use }) => use.inFlight === 0)
    .filter(
      ({ slot, use, isOutdated }) =>
        isOutdated || now - Math.max(use.lastUsedAt, slot.since) >= MIN_IDLE_MS,
    )
    .sort(
      (left, right) =>
        Number(right.isOutdated) - Number(left.isOutdated) ||
        Math.max(left.use.lastUsedAt, left.slot.since) -
          Math.max(right.use.lastUsedAt, right.slot.since),
    )[0]?.slot;
}
