import type Slot from './Slot';
import type LoadRequest from './LoadRequest';

/** News of the other VMs' requests is this old; an adapter used since may be in use. */
const MIN_IDLE_MS = 300;

interface View {
  slots: readonly Slot[];
  wants: readonly LoadRequest[];
  places: number;
  /** Loads that may be on their way at once. */
  maxLoading: number;
  /** Requests in progress and time of the last one, of an adapter on this engine. */
  getUse(key: string): { inFlight: number; lastUsedAt: number };
  /** Version that requests must run on. */
  getVersion(key: string): number;
}

type Choice =
  | { kind: 'confirm'; slot: Slot }
  | { kind: 'load'; want: LoadRequest }
  | { kind: 'unload'; slot: Slot }
  | { kind: 'drop'; want: LoadRequest; reason: 'full' | 'expired' }
  | { kind: 'wait'; untilMs: number }
  | { kind: 'none' };

/**
 * Decides the next order to an engine: loads by urgency and age, each into a free place or one
 * whose adapter was idle for longest. Answers many adapters asked for on few places.
 */
export default function chooseEngineAction(now: number, view: View): Choice {
  const due = view.slots.find((slot) => slot.state === 'loading' && slot.dueAt <= now);
  if (due) {
    return { kind: 'confirm', slot: due };
  }
  const unloading = view.slots.filter((slot) => slot.state === 'leaving');
  const dueUnload = unloading.find((slot) => slot.dueAt <= now);
  if (dueUnload) {
    return { kind: 'unload', slot: dueUnload };
  }
  const expired = view.wants.find((want) => want.expiresAt <= now);
  if (expired) {
    return { kind: 'drop', want: expired, reason: 'expired' };
  }
  const loading = view.slots.filter((slot) => slot.state === 'loading');
  const next = loading.length < view.maxLoading ? getFirst(view.wants) : undefined;
  if (next) {
    const replaced = view.slots.find((slot) => slot.key === next.key);
    if (replaced?.state === 'resident' && view.getUse(next.key).inFlight === 0) {
      return { kind: 'load', want: next };
    }
    if (replaced) {
      return { kind: 'drop', want: next, reason: 'full' };
    }
    if (view.slots.length < view.places) {
      return { kind: 'load', want: next };
    }
    const victim = tryGetVictim(now, view);
    return victim ? { kind: 'unload', slot: victim } : { kind: 'drop', want: next, reason: 'full' };
  }
  const nextDue = Math.min(...[...loading, ...unloading].map((slot) => slot.dueAt));
  return Number.isFinite(nextDue) ? { kind: 'wait', untilMs: nextDue } : { kind: 'none' };
}

function getFirst(wants: readonly LoadRequest[]): LoadRequest | undefined {
  return [...wants].sort(
    (left, right) => left.urgency - right.urgency || left.since - right.since,
  )[0];
}

/** The idle adapter that was used least lately; one of an old version first. */
function tryGetVictim(now: number, view: View): Slot | undefined {
  return view.slots
    .filter((slot) => slot.state === 'resident')
    .map((slot) => ({
      slot,
      use: view.getUse(slot.key),
      isOld: slot.version < view.getVersion(slot.key),
    }))
    .filter(({ use }) => use.inFlight === 0)
    .filter(
      ({ slot, use, isOld }) => isOld || now - Math.max(use.lastUsedAt, slot.since) >= MIN_IDLE_MS,
    )
    .sort(
      (left, right) =>
        Number(right.isOld) - Number(left.isOld) ||
        Math.max(left.use.lastUsedAt, left.slot.since) -
          Math.max(right.use.lastUsedAt, right.slot.since),
    )[0]?.slot;
}
