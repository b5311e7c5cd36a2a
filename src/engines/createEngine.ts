import { match } from 'ts-pattern';
import type Log from '../events/Log';
import type BaseModel from '../manifest/BaseModel';
import type Result from '../shared/Result';
import type Clock from '../shared/Clock';
import type Upstream from '../upstream/Upstream';
import chooseEngineAction from './chooseEngineAction';
import createCommandSender from './createCommandSender';
import type EngineFault from './EngineFault';
import type EngineCommand from './EngineCommand';
import type EngineReport from './EngineReport';
import type EngineState from './EngineState';
import getAdapterKey from './getAdapterKey';
import type Slot from './Slot';
import type LoadRequest from './LoadRequest';

/** Time of a load from the store, by the platform's pages. */
const LOAD_MS = 250;
/** Time of a load of an adapter that the engine held recently: a tenth. */
const RELOAD_MS = 25;
const RECENTLY_HELD = 180;
/** Reports are some hundred milliseconds old; an order without an answer shows after that. */
const REPORT_LAG_MS = 400;
const RETRY_PAUSE_MS = 150;
/** An engine that does not answer is asked again after this. */
const UNREACHABLE_PAUSE_MS = 400;
const CONFIRM_AGAIN_MS = 30;
/** A stream takes some seconds; a request that began on an adapter just unloaded is rare. */
const UNLOAD_AGAIN_MS = 300;
/** Loading a model moves tens of gigabytes; it is not asked for again sooner. */
const MODEL_LOAD_PAUSE_MS = 1000;

interface EngineHost extends Clock {
  sendCommand(
    order: EngineCommand,
    by: { fence: number; expectedSequence: number },
  ): Promise<Result<'accepted' | 'held', EngineFault>>;
  getReport(): Promise<Result<EngineReport, EngineFault>>;
  /** Fencing number of this VM's ownership, while it may order. */
  tryGetFence(now: number): number | undefined;
  getUse(now: number, key: string): { inFlight: number; lastUsedAt: number };
  getVersion(key: string): number;
  getModels(): BaseModel[];
  getPlaces(): number;
  /** Loads that may be on their way to this engine now. */
  getMaxConcurrentLoads(): number;
  /** Tells the engine's state; `askers` wait for an adapter that has come. */
  announce(
    state: Omit<EngineState, 'fence' | 'sequence' | 'canLoad'>,
    askers: readonly string[],
  ): void;
  refuse(request: LoadRequest, reason: 'full' | 'expired' | 'failed'): void;
  countCommand(kind: string, outcome: string): void;
  log: Log;
}

/** Decides and carries out the orders to one engine on behalf of its owner. */
export default function createEngine(host: EngineHost, upstream: Upstream) {
  let slots: Slot[] = [];
  let models: { name: string; version: number }[] = [];
  let wants: LoadRequest[] = [];
  const line = createCommandSender(
    {
      ...host,
      onCounted: (sequence) => {
        slots = slots.filter(
          (slot) => slot.state !== 'uncertain' || slot.sentAtSequence !== sequence,
        );
      },
    },
    upstream.id,
  );
  let isKnown = false;
  let isReachable = true;
  let isSuspect = false;
  let readAfter = -Infinity;
  let isWorking = false;
  let isStopped = false;
  let cancelTimer = () => {};
  const modelOrderedAt = new Map<string, number>();
  const heldBefore = new Set<string>();

  /** Asks for an adapter; joins an equal ask. */
  function requestLoad(
    asked: Omit<LoadRequest, 'since' | 'requesters' | 'key'>,
    asker: string,
  ): void {
    const now = host.now();
    const key = getAdapterKey(asked.model, asked.adapter);
    if (!isReachable) {
      host.refuse({ ...asked, key, since: now, requesters: new Set([asker]) }, 'failed');
      return;
    }
    const held = slots.find((slot) => slot.key === key && slot.version >= asked.version);
    if (held?.state === 'resident') {
      announce([asker]);
      return;
    }
    if (held?.state === 'loading') {
      held.requesters.push(asker);
      return;
    }
    const known = wants.find((other) => other.key === key);
    if (known) {
      known.requesters.add(asker);
      known.urgency = Math.min(known.urgency, asked.urgency);
      known.expiresAt = Math.max(known.expiresAt, asked.expiresAt);
      known.version = Math.max(known.version, asked.version);
    } else {
      wants.push({ ...asked, key, since: now, requesters: new Set([asker]) });
    }
    work();
  }

  /** Carries out decisions one after the other until none is left. */
  async function work(): Promise<void> {
    if (isWorking || isStopped) {
      return;
    }
    isWorking = true;
    cancelTimer();
    let pauseMs: number | undefined = 0;
    while (pauseMs === 0 && !isStopped) {
      pauseMs = await step();
    }
    isWorking = false;
    if (pauseMs !== undefined && !isStopped) {
      cancelTimer = host.setTimer(pauseMs, work);
    }
  }

  /** Does one thing; answers the pause until the next one, undefined where nothing is left. */
  async function step(): Promise<number | undefined> {
    const now = host.now();
    if (host.tryGetFence(now) === undefined) {
      refuseAll('failed');
      return RETRY_PAUSE_MS;
    }
    if (isSuspect) {
      isSuspect = false;
      const report = await host.getReport();
      setReachable(report.ok);
    }
    if (!isKnown) {
      return learn(now);
    }
    const missing = host
      .getModels()
      .find((model) => models.every(({ name }) => name !== model.name));
    if (missing && models.length === 0) {
      return loadModel(now, missing);
    }
    const choice = chooseEngineAction(now, {
      slots,
      wants,
      places: host.getPlaces(),
      maxLoading: host.getMaxConcurrentLoads(),
      getUse: (key) => host.getUse(now, key),
      getVersion: host.getVersion,
    });
    return match(choice)
      .with({ kind: 'confirm' }, ({ slot }) => confirm(slot))
      .with({ kind: 'load' }, (load) => startLoad(now, load.want))
      .with({ kind: 'unload' }, ({ slot }) => unload(slot))
      .with({ kind: 'drop' }, (drop) => {
        wants = wants.filter((other) => other !== drop.want);
        host.refuse(drop.want, drop.reason);
        return 0;
      })
      .with({ kind: 'wait' }, ({ untilMs }) => Math.max(1, untilMs - now))
      .with({ kind: 'none' }, () => undefined)
      .exhaustive();
  }

  async function learn(now: number): Promise<number> {
    if (now < readAfter) {
      return readAfter - now;
    }
    const report = await host.getReport();
    setReachable(report.ok);
    if (!report.ok) {
      readAfter = host.now() + UNREACHABLE_PAUSE_MS;
      return UNREACHABLE_PAUSE_MS;
    }
    const { value } = report;
    const readAt = host.now();
    models = value.models.map(({ name, version }) => ({ name, version }));
    const resident = value.models.flatMap((model) =>
      model.adapters.map((adapter) =>
        createSlot(readAt, getAdapterKey(model.name, adapter.name), adapter.version, 'resident'),
      ),
    );
    const coming = value.coming.map((adapter) => ({
      ...createSlot(
        readAt,
        getAdapterKey(adapter.model, adapter.adapter),
        adapter.version,
        'loading',
      ),
      dueAt: readAt + LOAD_MS,
    }));
    coming.forEach((slot) =>
      slot.requesters.push(...(slots.find(({ key }) => key === slot.key)?.requesters ?? [])),
    );
    const seen = new Set([...resident, ...coming].map(({ key }) => key));
    // An order that was not answered may still be carried out while no later one was accepted.
    const uncertain = slots.filter(
      (slot) =>
        slot.state === 'uncertain' && slot.sentAtSequence === value.sequence && !seen.has(slot.key),
    );
    slots = [...resident, ...coming, ...uncertain];
    line.learn(value.sequence);
    isKnown = true;
    slots.forEach(({ key }) => heldBefore.add(key));
    host.log('engineRead', {
      engine: upstream.id,
      sequence: value.sequence,
      adapters: resident.length,
      coming: coming.length,
      uncertain: uncertain.length,
    });
    announce();
    return 0;
  }

  async function loadModel(now: number, model: BaseModel): Promise<number> {
    const orderedAt = modelOrderedAt.get(model.name) ?? -Infinity;
    if (now - orderedAt < MODEL_LOAD_PAUSE_MS) {
      isKnown = false;
      readAfter = now + RETRY_PAUSE_MS;
      return RETRY_PAUSE_MS;
    }
    modelOrderedAt.set(model.name, now);
    const outcome = await line.send('loadModel', {
      kind: 'load',
      model: model.name,
      adapter: undefined,
      version: undefined,
    });
    isKnown = false;
    readAfter =
      host.now() + (outcome === 'accepted' ? model.loadMs + RETRY_PAUSE_MS : REPORT_LAG_MS);
    return readAfter - host.now();
  }

  async function startLoad(now: number, wanted: LoadRequest): Promise<number> {
    wants = wants.filter((other) => other !== wanted);
    slots = slots.filter((slot) => slot.key !== wanted.key);
    const slot = createSlot(now, wanted.key, wanted.version, 'loading');
    slot.sentAtSequence = line.getSequence();
    slot.requesters.push(...wanted.requesters);
    slots.push(slot);
    announce();
    const outcome = await line.send('load', {
      kind: 'load',
      model: wanted.model,
      adapter: wanted.adapter,
      version: wanted.version || undefined,
    });
    const answeredAt = host.now();
    const isRecent = heldBefore.has(`${wanted.key}@${wanted.version}`);
    slot.dueAt = answeredAt + (isRecent ? RELOAD_MS : LOAD_MS);
    return settle(
      outcome,
      slot,
      () => {
        if (outcome === 'held') {
          slot.state = 'resident';
          announce(slot.requesters);
        }
      },
      wanted,
    );
  }

  /** Repeats a load whose time has come: the engine answers that it is held once it is. */
  async function confirm(slot: Slot): Promise<number> {
    const [model, adapter] = slot.key.split('/');
    slot.sentAtSequence = line.getSequence();
    const outcome = await line.send('confirm', {
      kind: 'load',
      model,
      adapter,
      version: slot.version || undefined,
    });
    return settle(outcome, slot, () => {
      if (outcome === 'held') {
        slot.state = 'resident';
        slot.since = host.now();
        remember(slot);
        announce(slot.requesters);
      } else {
        slot.dueAt = host.now() + CONFIRM_AGAIN_MS;
      }
    });
  }

  async function unload(slot: Slot): Promise<number> {
    const [model, adapter] = slot.key.split('/');
    slot.state = 'leaving';
    slot.sentAtSequence = line.getSequence();
    announce();
    const outcome = await line.send('unload', {
      kind: 'unload',
      model,
      adapter,
      version: undefined,
    });
    return settle(outcome, slot, () => {
      if (outcome === 'accepted') {
        // Runs of it go on: the place is free once the same order finds nothing left.
        slot.dueAt = host.now() + UNLOAD_AGAIN_MS;
        return;
      }
      slots = slots.filter((other) => other !== slot);
      announce();
    });
  }

  /** Takes an order's outcome: goes on where it is certain, reads the engine where it is not. */
  function settle(
    outcome: Awaited<ReturnType<typeof line.send>>,
    slot: Slot,
    onCertain: () => void,
    wanted?: LoadRequest,
  ): number {
    if (outcome === 'accepted' || outcome === 'held') {
      onCertain();
      return 0;
    }
    const isUncertain = outcome === 'noAnswer';
    if (isUncertain) {
      Object.assign(slot, { state: 'uncertain' });
      isSuspect = true;
      if (wanted) {
        host.refuse(wanted, 'failed');
      }
    } else if (wanted) {
      slots = slots.filter((other) => other !== slot);
      if (outcome === 'refused') {
        host.refuse(wanted, 'failed');
      } else {
        wants.push(wanted);
      }
    }
    isKnown = false;
    readAfter = host.now() + (isUncertain ? REPORT_LAG_MS : RETRY_PAUSE_MS);
    return readAfter - host.now();
  }

  /** Tells whether the engine answers; while it does not, nothing can be had there. */
  function setReachable(next: boolean): void {
    if (next === isReachable) {
      return;
    }
    isReachable = next;
    host.log(next ? 'engineRegained' : 'engineLost', { engine: upstream.id });
    announce();
    if (!next) {
      refuseAll('failed');
    }
  }

  function remember(slot: Slot): void {
    heldBefore.add(`${slot.key}@${slot.version}`);
    if (heldBefore.size > RECENTLY_HELD) {
      heldBefore.delete(heldBefore.values().next().value as string);
    }
  }

  function refuseAll(reason: 'failed'): void {
    wants.forEach((wanted) => host.refuse(wanted, reason));
    wants = [];
  }

  function announce(askers: readonly string[] = []): void {
    const adapters = slots
      .filter((slot) => slot.state !== 'uncertain')
      .map(({ key, version, state }) => ({
        key,
        version,
        state: state as 'loading' | 'resident' | 'leaving',
      }));
    const { id, startedAt } = upstream;
    host.announce(
      { engine: id, startedAt, isReachable, queued: wants.length, models, adapters },
      askers,
    );
  }

  /** Reads the engine again, since a VM found something else there. */
  function invalidateState(): void {
    if (isKnown) {
      isKnown = false;
      readAfter = host.now() + RETRY_PAUSE_MS;
      work();
    }
  }

  function stop(): void {
    isStopped = true;
    cancelTimer();
    refuseAll('failed');
  }

  return { requestLoad, work, invalidateState, stop, announce, upstream };
}

function createSlot(now: number, key: string, version: number, state: Slot['state']): Slot {
  return { key, version, state, since: now, dueAt: now, sentAtSequence: undefined, requesters: [] };
}
