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
import createAdapterSlots from './createAdapterSlots';
import createLoadQueue from './createLoadQueue';
import createLoadRequest from './createLoadRequest';
import type LoadRequest from './LoadRequest';
import createSlotCommands from './createSlotCommands';
import createSlotWaitEstimate from './createSlotWaitEstimate';

/** Duration of a load from the adapter store, as documented by the platform. */
const LOAD_MS = 250;
/**
 * Reports are some hundred milliseconds old: the effect of a command without a response is visible
 * only after this time.
 */
const REPORT_LAG_MS = 400;
/** A report with a lower command count than the owner knows is older than its last command until then. */
const MAX_REPORT_AGE_MS = 1500;
const RETRY_PAUSE_MS = 150;
/** Interval at which the report of an unreachable engine is requested. */
const UNREACHABLE_RETRY_MS = 400;
/** A model load moves tens of gigabytes, so that the command is not repeated sooner. */
const MODEL_LOAD_RETRY_MS = 1000;

interface EngineHost extends Clock {
  sendCommand(
    command: EngineCommand,
    condition: { fence: number; expectedSequence: number; run: number },
  ): Promise<Result<'accepted' | 'held', EngineFault>>;
  getReport(): Promise<Result<EngineReport, EngineFault>>;
  /** Returns the fencing number of this VM's ownership, or undefined while it may not send. */
  tryGetFence(now: number): number | undefined;
  /** Returns for how long the engine wants no requests of this VM, in milliseconds. */
  getRestMs(now: number): number;
  /** Returns whether this VM reaches no upstream. */
  isPartitioned(): boolean;
  getUse(now: number, key: string): { inFlight: number; lastUsedAt: number };
  /** Returns the keys of the adapters, and of models without one, that requests use on this engine. */
  getBusyKeys(now: number): string[];
  getVersion(key: string): number;
  getModels(): BaseModel[];
  /** Returns the slots that this owner may fill, given the engine's run and command count. */
  getAdapterSlots(run: number, sequence: number): number;
  /** Returns how many loads may be in progress on this engine at once. */
  getMaxConcurrentLoads(): number;
  /** Publishes the engine's state; `requesters` wait for an adapter that is now resident. */
  announce(
    state: Omit<EngineState, 'fence' | 'sequence' | 'canLoad'>,
    requesters: readonly string[],
  ): void;
  refuse(request: LoadRequest, reason: 'full' | 'expired' | 'failed'): void;
  countCommand(kind: string, outcome: string): void;
  log: Log;
}

/** Decides which commands one engine gets from its owner, and sends them. */
export default function createEngine(
  host: EngineHost,
  upstream: Upstream,
  options: { /** Time until the engine is first read, in milliseconds. */ delayMs: number },
) {
  const slots = createAdapterSlots({ loadMs: LOAD_MS });
  const queue = createLoadQueue();
  let models: { name: string; version: number }[] = [];
  /** Start time of the engine's present run, by its registration or a newer report. */
  let runStartedAt = upstream.startedAt;
  const commandSender = createCommandSender(
    {
      ...host,
      sendCommand: (command, condition) =>
        host.sendCommand(command, { ...condition, run: runStartedAt }),
      describe: () => ({
        run: runStartedAt,
        occupied: slots.getAll().length,
        room: getRoom(),
      }),
      onSequenceAdvanced: slots.removeSuperseded,
    },
    upstream.id,
  );
  let isStateCurrent = false;
  let isReachable = true;
  let isReachabilityUncertain = false;
  let nextReadAt = host.now() + options.delayMs;
  let isRunning = false;
  let isStopped = false;
  let cancelTimer = () => {};
  const modelLoadSentAt = new Map<string, number>();
  const slotWaits = createSlotWaitEstimate();
  const slotCommands = createSlotCommands(
    {
      ...host,
      announce,
      onUncertain: () => {
        isReachabilityUncertain = true;
      },
      readAfter: (delayMs) => {
        isStateCurrent = false;
        nextReadAt = host.now() + delayMs;
      },
    },
    { slots, queue, commandSender, slotWaits },
    { loadMs: LOAD_MS, reportLagMs: REPORT_LAG_MS, retryPauseMs: RETRY_PAUSE_MS },
  );

  /** Requests an adapter; a request for the same adapter is merged with the queued one. */
  function requestLoad(request: Parameters<typeof createLoadRequest>[1], requester: string): void {
    const now = host.now();
    if (!isReachable || host.getRestMs(now) > 0) {
      host.refuse(createLoadRequest(now, request, requester), 'failed');
      return;
    }
    const key = getAdapterKey(request.model, request.adapter);
    const existingSlot = slots
      .getAll()
      .find((slot) => slot.key === key && slot.version >= request.version);
    if (existingSlot?.state === 'resident') {
      announce([requester]);
      return;
    }
    if (existingSlot?.state === 'loading') {
      existingSlot.requesters.push(requester);
      return;
    }
    queue.add(now, request, requester);
    run();
  }

  /** Runs one action after the other until none is due, then sets a timer for the next one. */
  async function run(): Promise<void> {
    if (isRunning || isStopped) {
      return;
    }
    isRunning = true;
    cancelTimer();
    let pauseMs: number | undefined = 0;
    while (pauseMs === 0 && !isStopped) {
      pauseMs = await runNextAction();
    }
    isRunning = false;
    if (pauseMs !== undefined && !isStopped) {
      cancelTimer = host.setTimer(pauseMs, run);
    }
  }

  /**
   * Runs the next action. Returns the delay until the following one in milliseconds, or undefined
   * if nothing is left to do.
   */
  async function runNextAction(): Promise<number | undefined> {
    const now = host.now();
    if (host.tryGetFence(now) === undefined) {
      refuseAll('failed');
      return RETRY_PAUSE_MS;
    }
    const restMs = host.getRestMs(now);
    if (restMs > 0) {
      refuseAll('failed');
      return restMs;
    }
    if (isReachabilityUncertain) {
      isReachabilityUncertain = false;
      const report = await host.getReport();
      setReachable(report.ok || !isSilenceMeaningful());
    }
    if (!isStateCurrent) {
      return readState(now);
    }
    const missingModel = host
      .getModels()
      .find((model) => models.every(({ name }) => name !== model.name));
    if (missingModel && models.length === 0) {
      return loadModel(now, missingModel);
    }
    const adapterSlots = getRoom();
    const action = chooseEngineAction(now, {
      slots: slots.getAll(),
      loadRequests: queue.getAll(),
      adapterSlots,
      maxFilledSlots: getUnreservedSlots(),
      slotIntervalMs: slotWaits.getIntervalMs(now, adapterSlots),
      maxConcurrentLoads: host.getMaxConcurrentLoads(),
      getUse: (key) => host.getUse(now, key),
      getVersion: host.getVersion,
    });
    return match(action)
      .with({ kind: 'confirm' }, ({ slot }) => slotCommands.confirmLoad(slot))
      .with({ kind: 'load' }, (load) => slotCommands.startLoad(now, load.request))
      .with({ kind: 'unload' }, ({ slot }) => slotCommands.unload(slot))
      .with({ kind: 'drop' }, (drop) => {
        if (drop.reason === 'expired') {
          slotWaits.record(now, now - drop.request.since, drop.request.position);
        }
        queue.remove(drop.request);
        host.refuse(drop.request, drop.reason);
        return 0;
      })
      .with({ kind: 'wait' }, ({ untilMs }) => Math.max(1, untilMs - now))
      .with({ kind: 'none' }, () => undefined)
      .exhaustive();
  }

  /**
   * Returns the slots that this owner may fill. An adapter that is in use, and neither reported nor
   * known to be leaving, still has a slot until its requests have ended.
   */
  function getRoom(): number {
    const keys = new Set(slots.getAll().map(({ key }) => key));
    const hidden = host
      .getBusyKeys(host.now())
      .filter((key) => key.includes('/') && !keys.has(key));
    return getUnreservedSlots() - hidden.length;
  }

  function getUnreservedSlots(): number {
    return host.getAdapterSlots(runStartedAt, commandSender.getSequence());
  }

  async function readState(now: number): Promise<number> {
    if (now < nextReadAt) {
      return nextReadAt - now;
    }
    const report = await host.getReport();
    setReachable(report.ok || !isSilenceMeaningful());
    if (!report.ok) {
      nextReadAt = host.now() + UNREACHABLE_RETRY_MS;
      return UNREACHABLE_RETRY_MS;
    }
    const { value } = report;
    const readAt = host.now();
    const known = commandSender.getSequence();
    const reportedRun = value.startedAt ?? runStartedAt;
    const isOlderCount =
      reportedRun === runStartedAt &&
      value.sequence < known &&
      readAt - commandSender.getAdvancedAt() < MAX_REPORT_AGE_MS;
    if (reportedRun < runStartedAt || isOlderCount) {
      host.log('engineReadStale', {
        engine: upstream.id,
        run: runStartedAt,
        reportedRun,
        known,
        sequence: value.sequence,
      });
      nextReadAt = readAt + RETRY_PAUSE_MS;
      return RETRY_PAUSE_MS;
    }
    models = value.models.map(({ name, version }) => ({ name, version }));
    if (reportedRun > runStartedAt || value.sequence < known) {
      slots.clear();
      runStartedAt = reportedRun;
    }
    slots.applyReport(readAt, value);
    commandSender.setSequence(value.sequence);
    isStateCurrent = true;
    host.log('engineRead', {
      engine: upstream.id,
      run: runStartedAt,
      registeredRun: upstream.startedAt,
      known,
      sequence: value.sequence,
      ...slots.getCounts(),
    });
    announce();
    return 0;
  }

  async function loadModel(now: number, model: BaseModel): Promise<number> {
    const sentAt = modelLoadSentAt.get(model.name) ?? -Infinity;
    if (now - sentAt < MODEL_LOAD_RETRY_MS) {
      isStateCurrent = false;
      nextReadAt = now + RETRY_PAUSE_MS;
      return RETRY_PAUSE_MS;
    }
    modelLoadSentAt.set(model.name, now);
    const result = await commandSender.send('loadModel', {
      kind: 'load',
      model: model.name,
      adapter: undefined,
      version: undefined,
    });
    isStateCurrent = false;
    nextReadAt =
      host.now() + (result === 'accepted' ? model.loadMs + RETRY_PAUSE_MS : REPORT_LAG_MS);
    return nextReadAt - host.now();
  }

  /** Returns whether an engine that does not respond to this VM is at fault for that. */
  function isSilenceMeaningful(): boolean {
    return host.getRestMs(host.now()) === 0 && !host.isPartitioned();
  }

  /** Publishes a change of the engine's reachability; refuses all requests when it is lost. */
  function setReachable(isNowReachable: boolean): void {
    if (isNowReachable === isReachable) {
      return;
    }
    isReachable = isNowReachable;
    host.log(isNowReachable ? 'engineRegained' : 'engineLost', { engine: upstream.id });
    announce();
    if (!isNowReachable) {
      refuseAll('failed');
    }
  }

  function refuseAll(reason: 'failed'): void {
    queue.takeAll().forEach((request) => host.refuse(request, reason));
  }

  function announce(requesters: readonly string[] = []): void {
    const adapters = slots
      .getAll()
      .filter((slot) => slot.state !== 'uncertain')
      .map(({ key, version, state }) => ({
        key,
        version,
        state: state as 'loading' | 'resident' | 'leaving',
      }));
    host.announce(
      {
        engine: upstream.id,
        startedAt: runStartedAt,
        isReachable,
        queued: queue.getAll().length,
        models,
        adapters,
      },
      requesters,
    );
  }

  /** Schedules a read of the report because a VM found that the published state is wrong. */
  function invalidateState(): void {
    if (isStateCurrent) {
      isStateCurrent = false;
      nextReadAt = host.now() + RETRY_PAUSE_MS;
      run();
    }
  }

  function stop(): void {
    isStopped = true;
    cancelTimer();
    refuseAll('failed');
  }

  return {
    requestLoad,
    run,
    invalidateState,
    stop,
    announce,
    upstream,
    /** Withdraws a report that the engine does not respond: this VM reaches no upstream. */
    withdrawSilence: () => setReachable(true),
    /** Starts a load that waits for an adapter slot, if the use of one has ended. */
    handleUseChange: () => {
      if (queue.getAll().length > 0) {
        run();
      }
    },
    /** Refuses the loads that wait, since the engine leaves. */
    refuseLoads: () => refuseAll('failed'),
  };
}
