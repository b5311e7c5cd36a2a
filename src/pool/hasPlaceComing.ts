import type PoolView from './PoolView';

/**
 * Whether a model is being loaded, or lies on an engine whose batch has room, for the first that
 * waits for it.
 */
export default function hasPlaceComing(view: PoolView, model: string): boolean {
  const avoid = view.waiting.get(model)?.[0]?.avoid;
  return [...view.getHolders(model)].some((id) => {
    const engine = view.engines.get(id)!;
    if (id === avoid) {
      return false;
    }
    return engine.resident.get(model)!.state === 'loading' || engine.running < engine.batchSize;
  });
}
