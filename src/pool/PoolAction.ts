import type PoolAsk from './PoolAsk';
import type PoolRefusal from './PoolRefusal';

/** What the owner of a pool has to carry out. */
type PoolAction =
  | { kind: 'grant'; ask: PoolAsk; engine: string; name: string }
  | { kind: 'refuse'; ask: PoolAsk; reason: PoolRefusal; retryAfterMs: number }
  | { kind: 'load'; engine: string; model: string; name: string }
  | { kind: 'evict'; engine: string; model: string; name: string };

export default PoolAction;
