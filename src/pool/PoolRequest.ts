/** One request for a place on an engine. Times are on the pool's clock, in milliseconds. */
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
  /** Expected tokens of the answer. */
  tokens: number;
  arrivedAt: number;
  /** A start after this is of no use to the caller. */
  startBy: number;
  session?: string;
  /** Engine that is not to be given. */
  avoid?: string;
}

export default PoolRequest;
