import createDemandEstimator from './createDemandEstimator';
import createLoadBudget from './createLoadBudget';
import type PoolAction from './PoolAction';
import type PoolRequest from './PoolRequest';
import type PoolEngine from './PoolEngine';
import type PoolOptions from './PoolOptions';
import type PoolPolicy from './PoolPolicy';
import type PoolRefusal from './PoolRefusal';
import type PoolView from './PoolView';

const INITIAL_BACKOFF_MS = 1000;
const MAX_BACKOFF_MS = 30_000;
const EVICTION_RETRY_MS = 1000;
const MAX_UNLOADED_MODELS = 64;
const MAX_SESSIONS = 20_000;
const MIN_RETRY_AFTER_MS = 250;
const USAGE_HALF_LIFE_MS = 30_000;
const SERVICE_TIME_SMOOTHING = 0.05;
const INITIAL_SERVICE_TIME_MS = 2000;

interface Grant {
  request: PoolRequest;
  /** Compared by identity, since a slot loaded again under the same name is a different one. */
  slot: unknown;
  engine: string;
  name: string;
  startedAt: number;
}

interface Backoff {
  failures: number;
  until: number;
}

/**
 * Creates the state machine that decides for the engines of one pool. Each method receives an event
 * with the current time in milliseconds and returns the actions that the owner has to carry out.
 * Every request to the engines is admitted here, so the slots in use, the running requests and the
 * fill of each batch are known exactly. An adapter with a running request is never evicted.
 */
export default function createPool(
  options: PoolOptions,
  policy: PoolPolicy,
  getName: (model: string) => string,
) {
  const engines = new Map<string, PoolEngine>();
  const waiting = new Map<string, PoolRequest[]>();
  const grants = new Map<string, Grant>();
  /** Engines that hold a model, load it or will load it after an eviction. */
  const engineIdsByModel = new Map<string, Set<string>>();
  const unloadedModels = new Set<string>();
  const backoffs = new Map<string, Backoff>();
  const sessions = new Map<string, string>();
  /** Decaying count of the tokens granted to each team. */
  const teamUsage = new Map<string, { tokens: number; at: number }>();
  /** Models to load after evictions, by engine and name of the evicted adapter. */
  const loadsAfterEviction = new Map<string, string>();
  const demandEstimator = createDemandEstimator();
  const loadBudget = createLoadBudget({
    perSecond: options.loadsPerSecond,
    maxInFlight: options.maxLoadsInFlight,
  });
  const noEngines: ReadonlySet<string> = new Set();
  let serviceTimeMs = INITIAL_SERVICE_TIME_MS;
  let waitingCount = 0;

  const view: PoolView = {
    options,
    engines,
    waiting,
    unloadedModels,
    getEngineIds: (model) => engineIdsByModel.get(model) ?? noEngines,
    getRequestRate: demandEstimator.getRequestRate,
    isBackingOff: (now, model, engine) =>
      isInBackoff(now, `model ${model}`) || isInBackoff(now, `engine ${engine}`),
    getAvailableLoads: (now) => loadBudget.getAvailableLoads(now) - loadsAfterEviction.size,
    tryGetSessionEngine: (session) => sessions.get(session),
  };

  /** Grants or queues a request, or refuses it when it can't start by its `startBy`. */
  function submit(now: number, request: PoolRequest, maxQueue = Infinity): PoolAction[] {
    demandEstimator.recordRequest(
      now,
      request.model,
      request.weight,
      engineIdsByModel.has(request.model),
    );
    if (!engineIdsByModel.has(request.model)) {
      addUnloadedModel(now, request.model);
    }
    clearAvoidIfOnlyEngine(request);
    const granted = tryGrant(now, request);
    if (granted) {
      return [granted];
    }
    if ((waiting.get(request.model)?.length ?? 0) >= maxQueue) {
      return [refuse(now, request, 'queueFull')];
    }
    const startAt = now + estimateWaitMs(now, request);
    if (startAt > request.startBy) {
      const isFailing = isInBackoff(now, `model ${request.model}`);
      return [refuse(now, request, isFailing ? 'loadFailed' : 'deadline')];
    }
    enqueue(request);
    return startLoads(now);
  }

  /** Clears `avoid` if no other engine is usable: one that failed before is better than none. */
  function clearAvoidIfOnlyEngine(request: PoolRequest): void {
    const hasOther = [...engines.values()].some(({ id, usable }) => usable && id !== request.avoid);
    Object.assign(request, { avoid: hasOther ? request.avoid : undefined });
  }

  function tryGrant(now: number, request: PoolRequest): PoolAction | undefined {
    const candidates: PoolEngine[] = [];
    view.getEngineIds(request.model).forEach((id) => {
      const engine = engines.get(id)!;
      const isReady = engine.resident.get(request.model)!.state === 'resident';
      if (isReady && engine.usable && engine.running < engine.batchSize && id !== request.avoid) {
        candidates.push(engine);
      }
    });
    if (candidates.length === 0) {
      return undefined;
    }
    return grant(now, request, policy.chooseEngine(now, view, request, candidates));
  }

  function grant(now: number, request: PoolRequest, engine: PoolEngine): PoolAction {
    const slot = engine.resident.get(request.model)!;
    slot.running += 1;
    slot.lastUsedAt = now;
    engine.running += 1;
    grants.set(request.id, {
      request,
      slot,
      engine: engine.id,
      name: slot.name,
      startedAt: now,
    });
    recordUsage(now, request);
    if (request.session !== undefined) {
      recordSession(request.session, engine.id);
    }
    return { kind: 'grant', request, engine: engine.id, name: slot.name };
  }

  function recordSession(session: string, engine: string): void {
    sessions.delete(session);
    sessions.set(session, engine);
    if (sessions.size > MAX_SESSIONS) {
      sessions.delete(sessions.keys().next().value!);
    }
  }

  function recordUsage(now: number, request: PoolRequest): void {
    teamUsage.set(request.team, {
      tokens: getTeamUsage(now, request.team) + request.tokens,
      at: now,
    });
  }

  function getTeamUsage(now: number, team: string): number {
    const used = teamUsage.get(team);
    return used ? used.tokens * 0.5 ** ((now - used.at) / USAGE_HALF_LIFE_MS) : 0;
  }

  function enqueue(request: PoolRequest): void {
    const queue = waiting.get(request.model);
    if (queue) {
      queue.push(request);
    } else {
      waiting.set(request.model, [request]);
    }
    waitingCount += 1;
  }

  function dequeue(model: string, request: PoolRequest): void {
    const queue = waiting.get(model)!;
    queue.splice(queue.indexOf(request), 1);
    waitingCount -= 1;
    if (queue.length === 0) {
      waiting.delete(model);
    }
  }

  function refuse(now: number, request: PoolRequest, reason: PoolRefusal): PoolAction {
    const excessMs = estimateWaitMs(now, request) - (request.startBy - request.arrivedAt);
    return {
      kind: 'refuse',
      request,
      reason,
      retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, excessMs),
    };
  }

  /**
   * Estimates the milliseconds until a request can start: the wait in the queue if its model is
   * resident on an engine, otherwise the wait until its model is loaded.
   */
  function estimateWaitMs(now: number, request: PoolRequest): number {
    const queueLength = waiting.get(request.model)?.length ?? 0;
    const slots = [...view.getEngineIds(request.model)].map((id) =>
      engines.get(id)!.resident.get(request.model)!,
    );
    if (slots.some((slot) => slot.state === 'resident')) {
      const batchCapacity = [...view.getEngineIds(request.model)].reduce(
        (sum, id) => sum + engines.get(id)!.batchSize,
        0,
      );
      return ((queueLength + 1) * serviceTimeMs) / Math.max(1, batchCapacity);
    }
    const loading = slots.find((slot) => slot.state === 'loading');
    if (loading) {
      return Math.max(0, loading.since + options.loadMs - now);
    }
    const blockedUntil = backoffs.get(`model ${request.model}`)?.until ?? now;
    let loadsAhead = 0;
    waiting.forEach((queue, model) => {
      if (queue.length > queueLength && !engineIdsByModel.has(model)) {
        loadsAhead += 1;
      }
    });
    const availableLoads = loadBudget.getAvailableLoads(now);
    const loadWait =
      (1000 * Math.max(0, loadsAhead + 1 - availableLoads)) / loadBudget.getLoadsPerSecond();
    return Math.max(0, blockedUntil - now) + loadWait + options.loadMs;
  }

  /** Ends a granted request, whether it succeeded or failed, and grants the capacity it frees. */
  function finish(now: number, id: string): PoolAction[] {
    const endedGrant = grants.get(id);
    if (!endedGrant) {
      return [];
    }
    grants.delete(id);
    serviceTimeMs += SERVICE_TIME_SMOOTHING * (now - endedGrant.startedAt - serviceTimeMs);
    const engine = engines.get(endedGrant.engine);
    const slot = engine?.resident.get(endedGrant.request.model);
    if (!engine || !slot || slot !== endedGrant.slot) {
      return startLoads(now);
    }
    slot.running -= 1;
    slot.lastUsedAt = now;
    engine.running -= 1;
    return [...grantWaiting(now, engine), ...startLoads(now)];
  }

  /** Removes a waiting request from its queue. If it was granted already, finishes it instead. */
  function cancel(now: number, id: string): PoolAction[] {
    const found = [...waiting.values()].flat().find((request) => request.id === id);
    if (found) {
      dequeue(found.model, found);
      return [];
    }
    return finish(now, id);
  }

  /**
   * Grants the free batch capacity of an engine to waiting requests in the order of `isBefore`:
   * by class, priority, recent usage of its team and arrival.
   */
  function grantWaiting(now: number, engine: PoolEngine): PoolAction[] {
    const actions: PoolAction[] = [];
    while (engine.usable && engine.running < engine.batchSize) {
      const next = tryGetNextRequest(now, engine);
      if (!next) {
        break;
      }
      dequeue(next.model, next);
      actions.push(grant(now, next, engine));
    }
    return actions;
  }

  function tryGetNextRequest(now: number, engine: PoolEngine): PoolRequest | undefined {
    let best: PoolRequest | undefined;
    engine.resident.forEach((slot) => {
      const queue = slot.state === 'resident' ? waiting.get(slot.model) : undefined;
      queue?.forEach((request) => {
        if (request.avoid !== engine.id && (!best || isBefore(now, request, best))) {
          best = request;
        }
      });
    });
    return best;
  }

  function isBefore(now: number, left: PoolRequest, right: PoolRequest): boolean {
    if (left.class !== right.class) {
      return left.class === 'interactive';
    }
    if (left.priority !== right.priority) {
      return left.priority < right.priority;
    }
    if (left.team !== right.team) {
      return getTeamUsage(now, left.team) < getTeamUsage(now, right.team);
    }
    return left.arrivedAt < right.arrivedAt;
  }

  /** Starts the loads that the policy chooses, as far as the load budget allows. */
  function startLoads(now: number): PoolAction[] {
    const actions: PoolAction[] = [];
    while (view.getAvailableLoads(now) > 0) {
      const choice = policy.tryChooseLoad(now, view);
      if (!choice) {
        break;
      }
      const engine = engines.get(choice.engine)!;
      if (choice.victim === undefined) {
        actions.push(startLoad(now, engine, choice.model));
      } else {
        const slot = engine.resident.get(choice.victim)!;
        slot.state = 'evicting';
        loadsAfterEviction.set(`${engine.id} ${slot.name}`, choice.model);
        actions.push({ kind: 'evict', engine: engine.id, model: slot.model, name: slot.name });
        addEngineId(choice.model, engine.id);
        engine.resident.set(choice.model, createSlot(now, choice.model));
      }
    }
    return actions;
  }

  function createSlot(now: number, model: string) {
    return {
      model,
      name: getName(model),
      state: 'loading' as const,
      running: 0,
      since: now,
      lastUsedAt: now,
      keepUntil: now,
    };
  }

  function startLoad(now: number, engine: PoolEngine, model: string): PoolAction {
    loadBudget.recordStart(now);
    const slot = createSlot(now, model);
    engine.resident.set(model, slot);
    addEngineId(model, engine.id);
    return { kind: 'load', engine: engine.id, model, name: slot.name };
  }

  function addEngineId(model: string, engine: string): void {
    const engineIds = engineIdsByModel.get(model);
    if (engineIds) {
      engineIds.add(engine);
    } else {
      engineIdsByModel.set(model, new Set([engine]));
    }
    unloadedModels.delete(model);
  }

  function removeSlot(now: number, engine: PoolEngine, model: string): void {
    const slot = engine.resident.get(model);
    engine.running -= slot?.running ?? 0;
    engine.resident.delete(model);
    const engineIds = engineIdsByModel.get(model);
    engineIds?.delete(engine.id);
    if (engineIds?.size === 0) {
      engineIdsByModel.delete(model);
      addUnloadedModel(now, model);
    }
  }

  /** Adds a model, and removes the one with the lowest request rate when there are too many. */
  function addUnloadedModel(now: number, model: string): void {
    unloadedModels.add(model);
    if (unloadedModels.size <= MAX_UNLOADED_MODELS) {
      return;
    }
    let leastRequested: string | undefined;
    let leastRate = Infinity;
    unloadedModels.forEach((candidate) => {
      const rate = demandEstimator.getRequestRate(now, candidate);
      if (rate < leastRate) {
        leastRequested = candidate;
        leastRate = rate;
      }
    });
    unloadedModels.delete(leastRequested!);
  }

  /**
   * Records the result of an eviction. After a failure the adapter stays resident, and the load
   * that was to follow is dropped.
   */
  function completeEviction(
    now: number,
    engineId: string,
    name: string,
    ok: boolean,
  ): PoolAction[] {
    const engine = engines.get(engineId);
    const key = `${engineId} ${name}`;
    const nextModel = loadsAfterEviction.get(key);
    loadsAfterEviction.delete(key);
    const slot = engine && [...engine.resident.values()].find((other) => other.name === name);
    if (!engine || !slot) {
      return startLoads(now);
    }
    if (ok) {
      removeSlot(now, engine, slot.model);
      if (nextModel !== undefined && engine.resident.get(nextModel)?.state === 'loading') {
        return [startLoad(now, engine, nextModel)];
      }
      return startLoads(now);
    }
    slot.state = 'resident';
    slot.keepUntil = now + EVICTION_RETRY_MS;
    if (nextModel !== undefined) {
      removeSlot(now, engine, nextModel);
    }
    return [...grantWaiting(now, engine), ...startLoads(now)];
  }

  /** Records the result of a load; a failure starts or extends the backoff of model and engine. */
  function completeLoad(now: number, engineId: string, name: string, ok: boolean): PoolAction[] {
    loadBudget.recordEnd();
    const engine = engines.get(engineId);
    const slot = engine && [...engine.resident.values()].find((other) => other.name === name);
    if (!engine || slot?.state !== 'loading') {
      return startLoads(now);
    }
    if (ok) {
      backoffs.delete(`model ${slot.model}`);
      backoffs.delete(`engine ${engineId}`);
      slot.state = 'resident';
      slot.since = now;
      return [...grantWaiting(now, engine), ...startLoads(now)];
    }
    removeSlot(now, engine, slot.model);
    recordLoadFailure(now, `model ${slot.model}`);
    recordLoadFailure(now, `engine ${engineId}`);
    return startLoads(now);
  }

  function recordLoadFailure(now: number, key: string): void {
    const failures = (backoffs.get(key)?.failures ?? 0) + 1;
    // The first two failures on an engine cause no backoff, since the model or the adapter store
    // may be at fault. A failure is more likely to be due to the model, which backs off at once.
    const doublings = key.startsWith('engine') ? failures - 3 : failures - 1;
    const delayMs =
      doublings < 0 ? 0 : Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** doublings);
    backoffs.set(key, { failures, until: now + delayMs });
  }

  function isInBackoff(now: number, key: string): boolean {
    return now < (backoffs.get(key)?.until ?? -Infinity);
  }

  /** Refuses the requests whose `startBy` has passed, and starts grants and loads now possible. */
  function tick(now: number): PoolAction[] {
    const actions: PoolAction[] = [];
    waiting.forEach((queue, model) =>
      queue
        .filter((request) => now >= request.startBy)
        .forEach((request) => {
          dequeue(model, request);
          const isFailing = isInBackoff(now, `model ${model}`);
          actions.push(refuse(now, request, isFailing ? 'loadFailed' : 'deadline'));
        }),
    );
    engines.forEach((engine) => actions.push(...grantWaiting(now, engine)));
    actions.push(...startLoads(now));
    return actions;
  }

  /** Adds an engine, or updates its limits and whether it accepts new work. */
  function setEngine(
    engine: Pick<PoolEngine, 'id' | 'slots' | 'batchSize' | 'dataCentre' | 'usable'>,
  ): void {
    const existing = engines.get(engine.id);
    if (existing) {
      Object.assign(existing, engine);
    } else {
      engines.set(engine.id, { ...engine, running: 0, resident: new Map() });
    }
  }

  /** Removes an engine. Requests granted on it stay recorded until they finish. */
  function removeEngine(now: number, id: string): void {
    const engine = engines.get(id);
    if (engine) {
      resetEngine(now, id, []);
      engines.delete(id);
    }
  }

  /**
   * Replaces the resident adapters recorded for an engine by those that the engine reports, after a
   * restart or a change of owner. An adapter isn't evicted before its `pinnedUntil`, since requests
   * that another owner granted may still run on it.
   */
  function resetEngine(
    now: number,
    id: string,
    adapters: { model: string; name: string; pinnedUntil: number }[],
  ): PoolAction[] {
    const engine = engines.get(id)!;
    // Commands in progress are ended by `completeLoad` or `completeEviction`.
    [...engine.resident.values()]
      .filter((slot) => slot.state === 'resident')
      .filter((slot) => !adapters.some(({ name }) => name === slot.name))
      .forEach((slot) => removeSlot(now, engine, slot.model));
    adapters.forEach(({ model, name, pinnedUntil }) => {
      if (engine.resident.has(model)) {
        return;
      }
      const slot = createSlot(now, model);
      engine.resident.set(model, { ...slot, name, state: 'resident', keepUntil: pinnedUntil });
      addEngineId(model, id);
    });
    return [...grantWaiting(now, engine), ...startLoads(now)];
  }

  /** Removes an adapter after a VM has reported that the engine doesn't hold it. */
  function dropAdapter(now: number, id: string, name: string): PoolAction[] {
    const engine = engines.get(id);
    const slot = engine && [...engine.resident.values()].find((other) => other.name === name);
    if (slot?.state === 'resident') {
      removeSlot(now, engine!, slot.model);
    }
    return startLoads(now);
  }

  return {
    view,
    dropAdapter,
    submit,
    finish,
    cancel,
    tick,
    completeEviction,
    completeLoad,
    setEngine,
    removeEngine,
    resetEngine,
    setLoadRate: loadBudget.setLoadsPerSecond,
    blockLoadsUntil: loadBudget.blockUntil,
    tryGetGrant: (id: string) => grants.get(id),
    forEachGrant: (visit: (grant: Grant) => void) => grants.forEach(visit),
    getWaitingCount: () => waitingCount,
    getGrantCount: () => grants.size,
    getLoadsInFlight: loadBudget.getInFlight,
    removeIdleDemand: demandEstimator.removeIdle,
  };
}
