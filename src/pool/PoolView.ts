import type PoolRequest from './PoolRequest';
import type PoolEngine from './PoolEngine';
import type PoolOptions from './PoolOptions';

/** What a policy may look at when it decides. It changes nothing. */
interface PoolView {
  options: PoolOptions;
  engines: ReadonlyMap<string, PoolEngine>;
  /** Requests without a place, by model, oldest first. */
  waiting: ReadonlyMap<string, readonly PoolRequest[]>;
  /** Engines that hold or load a model. */
  getHolders(model: string): ReadonlySet<string>;
  getRate(now: number, model: string): number;
  /** Models that are wanted now and then and lie on no engine; few. */
  absent: ReadonlySet<string>;
  /** Whether a load of the model, or one on the engine, failed too recently to try again. */
  isBackingOff(now: number, model: string, engine: string): boolean;
  getLoadRoom(now: number): number;
  /** Where a conversation ran last. */
  tryGetSessionEngine(session: string): string | undefined;
}

export default PoolView;
