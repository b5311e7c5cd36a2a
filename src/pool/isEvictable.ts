import type PoolEngine from './PoolEngine';

type Slot = PoolEngine['resident'] extends Map<string, infer Value> ? Value : never;

/** Whether a slot may be freed: nothing runs on it and nothing is about to. */
export default function isEvictable(now: number, slot: Slot): boolean {
  return slot.state === 'resident' && slot.running === 0 && now >= slot.keepUntil;
}
