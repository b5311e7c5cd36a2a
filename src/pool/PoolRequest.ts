/** A request for batch capacity on an engine. Times are on the pool's clock, in milliseconds. */
interface PoolRequest {
  id: string;
  /** `adapter@version`. */
  model: string;
  team: string;
  class: 'interactive' | 'deferrable';
  /** 0 (first) to 9 (last). */
  priority: number;
  /** The adapter's weight from the table. */
  weight: number;
  /** Expected tokens of the response. */
  tokens: number;
  arrivedAt: number;
  /** Latest start that can still meet the caller's deadline. */
  startBy: number;
  session?: string;
  /** Engine that the request must not be granted on, if another one is usable. */
  avoid?: string;
}

export default PoolRequest;
