import createDemand from './createDemand';
import createLoadBudget from './createLoadBudget';
import type PoolAction from './PoolAction';
import type PoolRequest from './PoolRequest';
import type PoolEngine from './PoolEngine';
import type PoolOptions from './PoolOptions';
import type PoolPolicy from './PoolPolicy';
import type PoolRefusal from './PoolRefusal';
import type PoolView from './PoolView';

const BACKOFF_START_MS = 1000;
const BACKOFF_MAX_MS = 30_000;
const EVICTION_RETRY_MS = 1000;
const MAX_ABSENT = 64;
const MAX_SESSIONS = 20_000;
const MIN_RETRY_AFTER_MS = 250;
const USAGE_HALF_LIFE_MS = 30_000;
const SERVICE_SMOOTHING = 0.05;
const FIRST_SERVICE_GUESS_MS = 2000;

interface Grant {
  ask: PoolRequest;
  /** The slot itself: one loaded anew under the same name is another. */
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
 * The decisions for the engines of one pool, as a state machine in injected time: it takes what
 * happened and answers what is to be done. All work of the engines is admitted here, so slots,
 * pins and batches are known exactly. No adapter with a running request is ever evicted.
 */
export default function createPool(
  options: PoolOptions,
  policy: PoolPolicy,
  getName: (model: string) => string,
) {
  const engines = new Map<string, PoolEngine>();
  const waiting = new Map<string, PoolRequest[]>();
  const grants = new Map<string, Grant>();
  const holders = new Map<string, Set<string>>();
  const absent = new Set<string>();
  const backoffs = new Map<string, Backoff>();
  const sessions = new Map<string, string>();
  const usage = new Map<string, { tokens: number; at: number }>();
  const pendingLoads = new Map<string, string>();
  const demand = createDemand();
  const budget = createLoadBudget({
    perSecond: options.loadsPerSecond,
    maxInFlight: options.maxLoadsInFlight,
  });
  const none: ReadonlySet<string> = new Set();
  let serviceMs = FIRST_SERVICE_GUESS_MS;
  let waitingCount = 0;

  const view: PoolView = {
    options,
    engines,
    waiting,
    absent,
    getHolders: (model) => holders.get(model) ?? none,
    getRate: demand.getRate,
    isBackingOff: (now, model, engine) =>
      isBlocked(now, `model ${model}`) || isBlocked(now, `engine ${engine}`),
    getLoadRoom: (now) => budget.getRoom(now) - pendingLoads.size,
    tryGetSessionEngine: (session) => sessions.get(session),
  };

  /** Takes a request: grants it, lets it wait, or refuses it when its time can't be met. */
  function submit(now: number, ask: PoolRequest, maxQueue = Infinity): PoolAction[] {
    demand.note(now, ask.model, ask.weight, holders.has(ask.model));
    if (!holders.has(ask.model)) {
      addAbsent(now, ask.model);
    }
    dropAvoidWhereAlone(ask);
    const granted = tryGrant(now, ask);
    if (granted) {
      return [granted];
    }
    if ((waiting.get(ask.model)?.length ?? 0) >= maxQueue) {
      return [refuse(now, ask, 'queueFull')];
    }
    const startAt = now + estimateWaitMs(now, ask);
    if (startAt > ask.startBy) {
      const isFailing = isBlocked(now, `model ${ask.model}`);
      return [refuse(now, ask, isFailing ? 'loadFailed' : 'deadline')];
    }
    enqueue(ask);
    return plan(now);
  }

  /** An engine that has failed a request is still better than none. */
  function dropAvoidWhereAlone(ask: PoolRequest): void {
    const hasOther = [...engines.values()].some(({ id, usable }) => usable && id !== ask.avoid);
    Object.assign(ask, { avoid: hasOther ? ask.avoid : undefined });
  }

  function tryGrant(now: number, ask: PoolRequest): PoolAction | undefined {
    const candidates: PoolEngine[] = [];
    view.getHolders(ask.model).forEach((id) => {
      const engine = engines.get(id)!;
      const isReady = engine.resident.get(ask.model)!.state === 'resident';
      if (isReady && engine.usable && engine.running < engine.batchSize && id !== ask.avoid) {
        candidates.push(engine);
      }
    });
    if (candidates.length === 0) {
      return undefined;
    }
    return grant(now, ask, policy.chooseEngine(now, view, ask, candidates));
  }

  function grant(now: number, ask: PoolRequest, engine: PoolEngine): PoolAction {
    const slot = engine.resident.get(ask.model)!;
    slot.running += 1;
    slot.lastUsedAt = now;
    engine.running += 1;
    grants.set(ask.id, { ask, slot, engine: engine.id, name: slot.name, startedAt: now });
    noteUsage(now, ask);
    if (ask.session !== undefined) {
      noteSession(ask.session, engine.id);
    }
    return { kind: 'grant', ask, engine: engine.id, name: slot.name };
  }

  function noteSession(session: string, engine: string): void {
    sessions.delete(session);
    sessions.set(session, engine);
    if (sessions.size > MAX_SESSIONS) {
      sessions.delete(sessions.keys().next().value!);
    }
  }

  function noteUsage(now: number, ask: PoolRequest): void {
    usage.set(ask.team, { tokens: getUsage(now, ask.team) + ask.tokens, at: now });
  }

  function getUsage(now: number, team: string): number {
    const used = usage.get(team);
    return used ? used.tokens * 0.5 ** ((now - used.at) / USAGE_HALF_LIFE_MS) : 0;
  }

  function enqueue(ask: PoolRequest): void {
    const queue = waiting.get(ask.model);
    if (queue) {
      queue.push(ask);
    } else {
      waiting.set(ask.model, [ask]);
    }
    waitingCount += 1;
  }

  function dequeue(model: string, ask: PoolRequest): void {
    const queue = waiting.get(model)!;
    queue.splice(queue.indexOf(ask), 1);
    waitingCount -= 1;
    if (queue.length === 0) {
      waiting.delete(model);
    }
  }

  function refuse(now: number, ask: PoolRequest, reason: PoolRefusal): PoolAction {
    const late = estimateWaitMs(now, ask) - (ask.startBy - ask.arrivedAt);
    return { kind: 'refuse', ask, reason, retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, late) };
  }

  /** Expected wait for a start: the queue for its model's batch, or for its load. */
  function estimateWaitMs(now: number, ask: PoolRequest): number {
    const ahead = waiting.get(ask.model)?.length ?? 0;
    const states = [...view.getHolders(ask.model)].map((id) =>
      engines.get(id)!.resident.get(ask.model)!,
    );
    if (states.some((slot) => slot.state === 'resident')) {
      const places = [...view.getHolders(ask.model)].reduce(
        (sum, id) => sum + engines.get(id)!.batchSize,
        0,
      );
      return ((ahead + 1) * serviceMs) / Math.max(1, places);
    }
    const loading = states.find((slot) => slot.state === 'loading');
    if (loading) {
      return Math.max(0, loading.since + options.loadMs - now);
    }
    const blocked = backoffs.get(`model ${ask.model}`)?.until ?? now;
    let loadsAhead = 0;
    waiting.forEach((queue, model) => {
      if (queue.length > ahead && !holders.has(model)) {
        loadsAhead += 1;
      }
    });
    const room = budget.getRoom(now);
    const loadWait = (1000 * Math.max(0, loadsAhead + 1 - room)) / budget.getRate();
    return Math.max(0, blocked - now) + loadWait + options.loadMs;
  }

  /** Takes the end of a granted request, however it ended. */
  function finish(now: number, id: string): PoolAction[] {
    const ended = grants.get(id);
    if (!ended) {
      return [];
    }
    grants.delete(id);
    serviceMs += SERVICE_SMOOTHING * (now - ended.startedAt - serviceMs);
    const engine = engines.get(ended.engine);
    const slot = engine?.resident.get(ended.ask.model);
    if (!engine || !slot || slot !== ended.slot) {
      return plan(now);
    }
    slot.running -= 1;
    slot.lastUsedAt = now;
    engine.running -= 1;
    return [...drain(now, engine), ...plan(now)];
  }

  /** Takes back a request that waits no more; one that was granted is finished instead. */
  function cancel(now: number, id: string): PoolAction[] {
    const found = [...waiting.values()].flat().find((ask) => ask.id === id);
    if (found) {
      dequeue(found.model, found);
      return [];
    }
    return finish(now, id);
  }

  /** Grants places of one engine to those that wait: by priority, then team use, then arrival. */
  function drain(now: number, engine: PoolEngine): PoolAction[] {
    const actions: PoolAction[] = [];
    while (engine.usable && engine.running < engine.batchSize) {
      const next = tryGetNext(now, engine);
      if (!next) {
        break;
      }
      dequeue(next.model, next);
      actions.push(grant(now, next, engine));
    }
    return actions;
  }

  function tryGetNext(now: number, engine: PoolEngine): PoolRequest | undefined {
    let best: PoolRequest | undefined;
    engine.resident.forEach((slot) => {
      const queue = slot.state === 'resident' ? waiting.get(slot.model) : undefined;
      queue?.forEach((ask) => {
        if (ask.avoid !== engine.id && (!best || isBefore(now, ask, best))) {
          best = ask;
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
      return getUsage(now, left.team) < getUsage(now, right.team);
    }
    return left.arrivedAt < right.arrivedAt;
  }

  /** Starts the loads that the policy wants and the budget allows. */
  function plan(now: number): PoolAction[] {
    const actions: PoolAction[] = [];
    while (view.getLoadRoom(now) > 0) {
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
        pendingLoads.set(`${engine.id} ${slot.name}`, choice.model);
        actions.push({ kind: 'evict', engine: engine.id, model: slot.model, name: slot.name });
        addHolder(choice.model, engine.id);
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
    budget.start(now);
    const slot = createSlot(now, model);
    engine.resident.set(model, slot);
    addHolder(model, engine.id);
    return { kind: 'load', engine: engine.id, model, name: slot.name };
  }

  function addHolder(model: string, engine: string): void {
    const held = holders.get(model);
    if (held) {
      held.add(engine);
    } else {
      holders.set(model, new Set([engine]));
    }
    absent.delete(model);
  }

  function dropSlot(now: number, engine: PoolEngine, model: string): void {
    const slot = engine.resident.get(model);
    engine.running -= slot?.running ?? 0;
    engine.resident.delete(model);
    const held = holders.get(model);
    held?.delete(engine.id);
    if (held?.size === 0) {
      holders.delete(model);
      addAbsent(now, model);
    }
  }

  function addAbsent(now: number, model: string): void {
    absent.add(model);
    if (absent.size <= MAX_ABSENT) {
      return;
    }
    let least: string | undefined;
    let leastRate = Infinity;
    absent.forEach((candidate) => {
      const rate = demand.getRate(now, candidate);
      if (rate < leastRate) {
        least = candidate;
        leastRate = rate;
      }
    });
    absent.delete(least!);
  }

  /** Takes the outcome of an eviction; when it failed, the adapter stays and the load is off. */
  function completeEviction(
    now: number,
    engineId: string,
    name: string,
    ok: boolean,
  ): PoolAction[] {
    const engine = engines.get(engineId);
    const key = `${engineId} ${name}`;
    const next = pendingLoads.get(key);
    pendingLoads.delete(key);
    const slot = engine && [...engine.resident.values()].find((held) => held.name === name);
    if (!engine || !slot) {
      return plan(now);
    }
    if (ok) {
      dropSlot(now, engine, slot.model);
      if (next !== undefined && engine.resident.get(next)?.state === 'loading') {
        return [startLoad(now, engine, next)];
      }
      return plan(now);
    }
    slot.state = 'resident';
    slot.keepUntil = now + EVICTION_RETRY_MS;
    if (next !== undefined) {
      dropSlot(now, engine, next);
    }
    return [...drain(now, engine), ...plan(now)];
  }

  /** Takes the outcome of a load. */
  function completeLoad(now: number, engineId: string, name: string, ok: boolean): PoolAction[] {
    budget.end();
    const engine = engines.get(engineId);
    const slot = engine && [...engine.resident.values()].find((held) => held.name === name);
    if (!engine || slot?.state !== 'loading') {
      return plan(now);
    }
    if (ok) {
      backoffs.delete(`model ${slot.model}`);
      backoffs.delete(`engine ${engineId}`);
      slot.state = 'resident';
      slot.since = now;
      return [...drain(now, engine), ...plan(now)];
    }
    dropSlot(now, engine, slot.model);
    backOff(now, `model ${slot.model}`);
    backOff(now, `engine ${engineId}`);
    return plan(now);
  }

  function backOff(now: number, key: string): void {
    const failures = (backoffs.get(key)?.failures ?? 0) + 1;
    // A single failure of an engine says little of it, since the model or the store may be at
    // fault; of the model it says more.
    const steps = key.startsWith('engine') ? failures - 3 : failures - 1;
    const pause = steps < 0 ? 0 : Math.min(BACKOFF_MAX_MS, BACKOFF_START_MS * 2 ** steps);
    backoffs.set(key, { failures, until: now + pause });
  }

  function isBlocked(now: number, key: string): boolean {
    return now < (backoffs.get(key)?.until ?? -Infinity);
  }

  /** Refuses what has waited too long and starts what has become possible. */
  function tick(now: number): PoolAction[] {
    const actions: PoolAction[] = [];
    waiting.forEach((queue, model) =>
      queue
        .filter((ask) => now >= ask.startBy)
        .forEach((ask) => {
          dequeue(model, ask);
          const isFailing = isBlocked(now, `model ${model}`);
          actions.push(refuse(now, ask, isFailing ? 'loadFailed' : 'deadline'));
        }),
    );
    engines.forEach((engine) => actions.push(...drain(now, engine)));
    actions.push(...plan(now));
    return actions;
  }

  /** Adds an engine, or changes its limits and whether it takes new work. */
  function setEngine(
    engine: Pick<PoolEngine, 'id' | 'slots' | 'batchSize' | 'dataCentre' | 'usable'>,
  ): void {
    const present = engines.get(engine.id);
    if (present) {
      Object.assign(present, engine);
    } else {
      engines.set(engine.id, { ...engine, running: 0, resident: new Map() });
    }
  }

  /** Removes an engine with all that was granted on it. */
  function removeEngine(now: number, id: string): void {
    const engine = engines.get(id);
    if (engine) {
      resetEngine(now, id, []);
      engines.delete(id);
    }
  }

  /**
   * Takes what an engine itself says that it holds, after a restart or a change of owner.
   * `running` pins adapters that others' requests may still run on, until `unpin`.
   */
  function resetEngine(
    now: number,
    id: string,
    names: { model: string; name: string; pinnedUntil: number }[],
  ): PoolAction[] {
    const engine = engines.get(id)!;
    // Orders on their way end by themselves, as `loaded` or `evicted`.
    [...engine.resident.values()]
      .filter((slot) => slot.state === 'resident')
      .filter((slot) => !names.some(({ name }) => name === slot.name))
      .forEach((slot) => dropSlot(now, engine, slot.model));
    names.forEach(({ model, name, pinnedUntil }) => {
      if (engine.resident.has(model)) {
        return;
      }
      const slot = createSlot(now, model);
      engine.resident.set(model, { ...slot, name, state: 'resident', keepUntil: pinnedUntil });
      addHolder(model, id);
    });
    return [...drain(now, engine), ...plan(now)];
  }

  /** Takes the word of a VM that an engine does not hold what it was thought to hold. */
  function dropAdapter(now: number, id: string, name: string): PoolAction[] {
    const engine = engines.get(id);
    const slot = engine && [...engine.resident.values()].find((held) => held.name === name);
    if (slot?.state === 'resident') {
      dropSlot(now, engine!, slot.model);
    }
    return plan(now);
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
    setLoadRate: budget.setRate,
    blockLoadsUntil: budget.blockUntil,
    tryGetGrant: (id: string) => grants.get(id),
    forEachGrant: (visit: (grant: Grant) => void) => grants.forEach(visit),
    getWaitingCount: () => waitingCount,
    getGrantCount: () => grants.size,
    getLoadsInFlight: budget.getInFlight,
    forgetIdle: demand.forgetIdle,
  };
}
