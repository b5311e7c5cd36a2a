import type PoolEngine from './PoolEngine';

type Slot = PoolEngine['resident'] extends Map<string, infer Value> ? Value : never;

/** Returns whether an adapter may be evicted: it is resident, unused and not kept for now. */
export default function isEvictable(now: number, slot: Slot): boolean {
  return slot.state === 'resident' && slot.running === 0 && now >= slot.keepUntil;
}
