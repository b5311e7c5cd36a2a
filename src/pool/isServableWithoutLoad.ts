import type PoolView from './PoolView';

/**
 * Returns whether the first request that waits for a model needs no further load: the model is
 * being loaded, or an engine that holds it has free batch capacity.
 */
export default function isServableWithoutLoad(view: PoolView, model: string): boolean {
  const avoid = view.waiting.get(model)?.[0]?.avoid;
  return [...view.getEngineIds(model)].some((id) => {
    const engine = view.engines.get(id)!;
    if (id === avoid) {
      return false;
    }
    return engine.resident.get(model)!.state === 'loading' || engine.running < engine.batchSize;
  });
}
