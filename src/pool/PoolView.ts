import type PoolRequest from './PoolRequest';
import type PoolEngine from './PoolEngine';
import type PoolOptions from './PoolOptions';

/** Read-only view of a pool, from which a policy makes its choices. */
interface PoolView {
  options: PoolOptions;
  engines: ReadonlyMap<string, PoolEngine>;
  /** Requests that are not yet granted, by model, oldest first. */
  waiting: ReadonlyMap<string, readonly PoolRequest[]>;
  /** Returns the engines that hold a model, load it or will load it after an eviction. */
  getEngineIds(model: string): ReadonlySet<string>;
  /** Returns the expected requests per second, weighted by the adapter's weight. */
  getRequestRate(now: number, model: string): number;
  /** Models that were requested or loaded before and are on no engine now; a limited number. */
  unloadedModels: ReadonlySet<string>;
  /** Returns whether a load of the model, or one on the engine, failed too recently to retry. */
  isBackingOff(now: number, model: string, engine: string): boolean;
  /** Returns how many loads may start now, less those that wait for an eviction. */
  getAvailableLoads(now: number): number;
  /** Returns the engine on which a request of the session was granted last. */
  tryGetSessionEngine(session: string): string | undefined;
}

export default PoolView;
