import type PoolRequest from './PoolRequest';
import type PoolEngine from './PoolEngine';
import type PoolView from './PoolView';

/** The choices that differ between policies. */
interface PoolPolicy {
  /** Picks one of the engines that hold the model and have room; there is at least one. */
  chooseEngine(now: number, view: PoolView, ask: PoolRequest, engines: PoolEngine[]): PoolEngine;
  /** Picks the next load, with the model to evict for it where no slot is free. */
  tryChooseLoad(
    now: number,
    view: PoolView,
  ): { model: string; engine: string; victim: string | undefined } | undefined;
}

export default PoolPolicy;
