import type PoolRequest from './PoolRequest';
import type PoolRefusal from './PoolRefusal';

/** An action that the owner of a pool has to carry out. */
type PoolAction =
  | { kind: 'grant'; request: PoolRequest; engine: string; name: string }
  | { kind: 'refuse'; request: PoolRequest; reason: PoolRefusal; retryAfterMs: number }
  | { kind: 'load'; engine: string; model: string; name: string }
  | { kind: 'evict'; engine: string; model: string; name: string };

export default PoolAction;
