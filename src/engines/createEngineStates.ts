import type Upstream from '../upstream/Upstream';
import type EngineState from './EngineState';
import getAdapterKey from './getAdapterKey';

/** What this VM knows of what lies on which engine: from owners, else from the engines' entries. */
export default function createEngineStates() {
  const views = new Map<string, EngineState>();

  /** Takes an owner's state; answers whether it was news. */
  function applyState(state: EngineState): boolean {
    const known = views.get(state.engine);
    const isOlder =
      known !== undefined &&
      (state.startedAt < known.startedAt ||
        (state.startedAt === known.startedAt &&
          (state.fence < known.fence ||
            (state.fence === known.fence && state.sequence <= known.sequence))));
    if (isOlder) {
      return false;
    }
    views.set(state.engine, state);
    return true;
  }

  /** Takes an engine's entry: all that is known of a life of which no owner has told yet. */
  function applyRegistration(upstream: Upstream): void {
    const known = views.get(upstream.id);
    if (known && known.startedAt >= upstream.startedAt && known.fence > 0) {
      return;
    }
    views.set(upstream.id, {
      engine: upstream.id,
      startedAt: upstream.startedAt,
      fence: 0,
      sequence: 0,
      canLoad: false,
      isReachable: true,
      queued: 0,
      models: upstream.models.map(({ name, version }) => ({ name, version })),
      adapters: upstream.models.flatMap((model) =>
        model.adapters.map((adapter) => ({
          key: getAdapterKey(model.name, adapter.name),
          version: adapter.version,
          state: 'resident' as const,
        })),
      ),
    });
  }

  /** Whether an adapter (or a model) can serve on an engine, at least at a version. */
  function isResident(engine: string, key: string, version: number): boolean {
    const view = views.get(engine);
    const held =
      view?.adapters.find((adapter) => adapter.key === key && adapter.state === 'resident') ??
      view?.models.find((model) => model.name === key);
    return held !== undefined && held.version >= version;
  }

  /** Whether an engine's owner has told that it gets no answer there. */
  function isUnreachable(engine: string): boolean {
    return views.get(engine)?.isReachable === false;
  }

  /** Loads that are on their way to all engines but one. */
  function getLoadingElsewhere(engine: string): number {
    return [...views.values()]
      .filter((view) => view.engine !== engine)
      .flatMap((view) => view.adapters)
      .filter((adapter) => adapter.state === 'loading').length;
  }

  /** An engine did not hold an adapter: it is not used there until its owner tells again. */
  function removeAdapter(engine: string, key: string): void {
    const view = views.get(engine);
    if (view) {
      views.set(engine, {
        ...view,
        adapters: view.adapters.filter((adapter) => adapter.key !== key),
      });
    }
  }

  return {
    applyState,
    removeAdapter,
    applyRegistration,
    isResident,
    isUnreachable,
    getLoadingElsewhere,
    tryGet: (engine: string) => views.get(engine),
    remove: (engine: string) => views.delete(engine),
  };
}
