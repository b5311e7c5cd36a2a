import type AdapterSlot from './AdapterSlot';
import type LoadRequest from './LoadRequest';

/**
 * Usage counts from other VMs are up to this old: an adapter that was used more recently may still
 * be in use.
 */
const MIN_IDLE_MS = 300;

interface EngineView {
  slots: readonly AdapterSlot[];
  loadRequests: readonly LoadRequest[];
  adapterSlots: number;
  /** Number of loads that may be in progress at once. */
  maxConcurrentLoads: number;
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
 * adapter slot or after the eviction of the least recently used idle adapter. Designed for demand
 * for many adapters on few adapter slots.
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
  const loading = view.slots.filter((slot) => slot.state === 'loading');
  const nextRequest =
    loading.length < view.maxConcurrentLoads ? getMostUrgent(view.loadRequests) : undefined;
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
    return victim
      ? { kind: 'unload', slot: victim }
      : { kind: 'drop', request: nextRequest, reason: 'full' };
  }
  const nextDue = Math.min(...[...loading, ...unloading].map((slot) => slot.dueAt));
  return Number.isFinite(nextDue) ? { kind: 'wait', untilMs: nextDue } : { kind: 'none' };
}

function getMostUrgent(loadRequests: readonly LoadRequest[]): LoadRequest | undefined {
  return [...loadRequests].sort(
    (left, right) => left.urgency - right.urgency || left.since - right.since,
  )[0];
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
