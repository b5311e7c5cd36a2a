import isServableWithoutLoad from '../../src/pool/isServableWithoutLoad';
import isEvictable from '../../src/pool/isEvictable';
import type PoolEngine from '../../src/pool/PoolEngine';
import type PoolPolicy from '../../src/pool/PoolPolicy';
import type PoolView from '../../src/pool/PoolView';

/**
 * Creates a baseline policy: a request goes to the least loaded engine that has the adapter loaded.
 * Adapters are loaded in the order of their oldest waiting request, on the least loaded engine with
 * a free slot or an evictable adapter, of which the least recently used is replaced. `getEngines`
 * restricts the engines for a model.
 */
export default function createLruPolicy(
  getEngines: (view: PoolView, model: string) => PoolEngine[] = (view) => [
    ...view.engines.values(),
  ],
): PoolPolicy {
  return {
    chooseEngine: (_now, _view, _request, engines) =>
      engines.reduce((best, engine) => (engine.running < best.running ? engine : best)),
    tryChooseLoad: (now, view) => {
      const waitingModels = [...view.waiting]
        .filter(([model]) => !isServableWithoutLoad(view, model))
        .sort(([, left], [, right]) => left[0].arrivedAt - right[0].arrivedAt);

      for (const [model] of waitingModels) {
        const target = tryChooseSlot(now, view, model, getEngines(view, model));
        if (target) {
          return { model, ...target };
        }
      }
      return undefined;
    },
  };
}

function tryChooseSlot(now: number, view: PoolView, model: string, engines: PoolEngine[]) {
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
