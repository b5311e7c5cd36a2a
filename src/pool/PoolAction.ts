import type PoolRequest from './PoolRequest';
import type PoolRefusal from './PoolRefusal';

/** What the owner of a pool has to carry out. */
type PoolAction =
  | { kind: 'grant'; ask: PoolRequest; engine: string; name: string }
  | { kind: 'refuse'; ask: PoolRequest; reason: PoolRefusal; retryAfterMs: number }
  | { kind: 'load'; engine: string; model: string; name: string }
  | { kind: 'evict'; engine: string; model: string; name: string };

export default PoolAction;
