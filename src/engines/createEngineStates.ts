import type Upstream from '../upstream/Upstream';
import type EngineState from './EngineState';
import getAdapterKey from './getAdapterKey';

/** Stores the latest state of every engine: from its owner, else from its registration. */
export default function createEngineStates() {
  const states = new Map<string, EngineState>();
  /** Loads in progress, by engine. */
  const loadCounts = new Map<string, number>();
  let loadCount = 0;
  /** Engines whose state names an adapter as resident, or a model, by adapter key or model name. */
  const holders = new Map<string, Set<string>>();

  function setState(engine: string, state: EngineState | undefined): void {
    const former = states.get(engine);
    if (former) {
      getHeldKeys(former).forEach((key) => {
        const engines = holders.get(key);
        engines?.delete(engine);
        if (engines?.size === 0) {
          holders.delete(key);
        }
      });
    }
    if (!state) {
      states.delete(engine);
      return;
    }
    states.set(engine, state);
    getHeldKeys(state).forEach((key) => {
      const engines = holders.get(key) ?? new Set();
      holders.set(key, engines.add(engine));
    });
  }

  /** Applies a state that an owner has published. Returns false if it is not newer. */
  function applyState(state: EngineState): boolean {
    const current = states.get(state.engine);
    const isOlder =
      current !== undefined &&
      (state.startedAt < current.startedAt ||
        (state.startedAt === current.startedAt &&
          (state.fence < current.fence ||
            (state.fence === current.fence && state.sequence <= current.sequence))));
    if (isOlder) {
      return false;
    }
    setState(state.engine, state);
    setLoadCount(
      state.engine,
      state.adapters.filter((adapter) => adapter.state === 'loading').length,
    );
    return true;
  }

  function setLoadCount(engine: string, count: number): void {
    loadCount += count - (loadCounts.get(engine) ?? 0);
    loadCounts.set(engine, count);
  }

  /** Applies an engine's registration unless an owner has published a state since its start. */
  function applyRegistration(upstream: Upstream): void {
    const current = states.get(upstream.id);
    if (current && current.startedAt >= upstream.startedAt && current.fence > 0) {
      return;
    }
    setLoadCount(upstream.id, 0);
    setState(upstream.id, {
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

  /** Returns whether an engine holds an adapter or a model in a version that is new enough. */
  function isResident(engine: string, key: string, version: number): boolean {
    const state = states.get(engine);
    const entry =
      state?.adapters.find((adapter) => adapter.key === key && adapter.state === 'resident') ??
      state?.models.find((model) => model.name === key);
    return entry !== undefined && entry.version >= version;
  }

  /** Returns the engines for which `isResident` returns true, without looking at the others. */
  function getHolders(key: string, version: number): string[] {
    return [...(holders.get(key) ?? [])].filter((engine) => isResident(engine, key, version));
  }

  /** Returns whether the owner has published that the engine does not respond. */
  function isUnreachable(engine: string): boolean {
    return states.get(engine)?.isReachable === false;
  }

  /** Returns the number of loads in progress on all other engines. */
  function getLoadCountElsewhere(engine: string): number {
    return loadCount - (loadCounts.get(engine) ?? 0);
  }

  /**
   * Removes an adapter that an engine turned out not to hold. It is not used there until the owner
   * publishes a new state.
   */
  function removeAdapter(engine: string, key: string): void {
    const state = states.get(engine);
    if (state) {
      setState(engine, {
        ...state,
        adapters: state.adapters.filter((adapter) => adapter.key !== key),
      });
      setLoadCount(
        engine,
        states.get(engine)!.adapters.filter((adapter) => adapter.state === 'loading').length,
      );
    }
  }

  return {
    applyState,
    removeAdapter,
    applyRegistration,
    isResident,
    getHolders,
    isUnreachable,
    getLoadCountElsewhere,
    tryGet: (engine: string) => states.get(engine),
    remove: (engine: string) => {
      setLoadCount(engine, 0);
      setState(engine, undefined);
    },
  };
}

function getHeldKeys({ adapters, models }: EngineState): string[] {
  return [
    ...adapters.filter(({ state }) => state === 'resident').map(({ key }) => key),
    ...models.map(({ name }) => name),
  ];
}
