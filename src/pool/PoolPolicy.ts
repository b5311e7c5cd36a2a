import type PoolRequest from './PoolRequest';
import type PoolEngine from './PoolEngine';
import type PoolView from './PoolView';

/** The placement choices of a pool, which differ between policies. */
interface PoolPolicy {
  /** Chooses one of `engines`, which hold the model and have free batch capacity; never empty. */
  chooseEngine(
    now: number,
    view: PoolView,
    request: PoolRequest,
    engines: PoolEngine[],
  ): PoolEngine;
  /** Chooses the next load, and the model to evict for it (`victim`) if no slot is free. */
  tryChooseLoad(
    now: number,
    view: PoolView,
  ): { model: string; engine: string; victim: string | undefined } | undefined;
}

export default PoolPolicy;
