import type PoolView from './PoolView';

/** Whether a model is being loaded, or lies on an engine whose batch has room. */
export default function hasPlaceComing(view: PoolView, model: string): boolean {
  return [...view.getHolders(model)].some((id) => {
    const engine = view.engines.get(id)!;
    return engine.resident.get(model)!.state === 'loading' || engine.running < engine.batchSize;
  });
}
