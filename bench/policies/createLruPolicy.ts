import isServableWithoutLoad from '../../src/pool/isServableWithoutLoad';
import isEvictable from '../../src/pool/isEvictable';
import type PoolEngine from '../../src/pool/PoolEngine';
import type PoolPolicy from '../../src/pool/PoolPolicy';
import type PoolView from '../../src/pool/PoolView';

/**
 * Baseline: requests go to the least loaded engine that holds the adapter; loads go first come,
 * first served to the least loaded engine with a slot, in place of the least recently used adapter.
 * `getEngines` may narrow the engines for a model.
 */
export default function createLruPolicy(
  getEngines: (view: PoolView, model: string) => PoolEngine[] = (view) => [
    ...view.engines.values(),
  ],
): PoolPolicy {
  return {
    chooseEngine: (_now, _view, _ask, engines) =>
      engines.reduce((best, engine) => (engine.running < best.running ? engine : best)),
    tryChooseLoad: (now, view) => {
      const wanted = [...view.waiting]
        .filter(([model]) => !isServableWithoutLoad(view, model))
        .sort(([, left], [, right]) => left[0].arrivedAt - right[0].arrivedAt);

      for (const [model] of wanted) {
        const place = tryChoosePlace(now, view, model, getEngines(view, model));
        if (place) {
          return { model, ...place };
        }
      }
      return undefined;
    },
  };
}

function tryChoosePlace(now: number, view: PoolView, model: string, engines: PoolEngine[]) {
  const usable = engines
    .filter((engine) => engine.usable && !engine.resident.has(model))
    .filter((engine) => engine.running < engine.batchSize)
    .filter((engine) => !view.isBackingOff(now, model, engine.id))
    .sort((left, right) => left.running - right.running);

  for (const engine of usable) {
    if (engine.resident.size < engine.slots) {
      return { engine: engine.id, victim: undefined };
    }
    const [oldest] = [...engine.resident.values()]
      .filter((slot) => isEvictable(now, slot) && !view.waiting.has(slot.model))
      .sort((left, right) => left.lastUsedAt - right.lastUsedAt);
    if (oldest) {
      return { engine: engine.id, victim: oldest.model };
    }
  }
  return undefined;
}
