import type Log from '../events/Log';
import type Service from '../manifest/Service';
import type Clock from '../shared/Clock';
import type Upstream from '../upstream/Upstream';
import type Upstreams from '../upstream/Upstreams';
import type Usage from '../usage/Usage';
import createEngine from './createEngine';
import createUnansweredLoads from './createUnansweredLoads';
import type EngineControl from './EngineControl';
import type EngineState from './EngineState';

/** Time until the other VMs have reported which adapters they use to a new owner. */
const USE_REPORT_MS = 200;

interface OwnedEnginesHost extends Clock {
  getTimeOfDay(): number;
  control: EngineControl;
  tryGetFence(now: number, engine: string): number | undefined;
  getVersion(key: string): number;
  getEngineService(service: string): Service['engine'];
  /** Returns whether this VM reaches no upstream. */
  isPartitioned(): boolean;
  /** Returns for how long an engine wants no requests of this VM, in milliseconds. */
  getRestMs(now: number, upstream: Upstream): number;
  /** Records what the head of an engine's response states. */
  observeHead(
    upstream: Upstream,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void;
  /** Returns how many loads may be in progress on an engine at once. */
  getMaxConcurrentLoads(engine: string): number;
  /**
   * Publishes an engine's state to all VMs including this one. The requesters, which wait for an
   * adapter in it, receive it immediately.
   */
  announce(state: EngineState, requesters: readonly string[]): void;
  /** Informs a requester that an adapter can't be loaded on the engine now. */
  refuse(requester: string, engine: string, key: string): void;
  countCommand(kind: string, outcome: string): void;
  log: Log;
}

/** Manages the engines that this VM owns. */
export default function createOwnedEngines(
  host: OwnedEnginesHost,
  parts: { upstreams: Pick<Upstreams, 'tryGet'>; usage: Pick<Usage, 'getUse' | 'getBusyAdapters'> },
  options: { address: string },
) {
  const engines = new Map<string, ReturnType<typeof createEngine>>();
  const lastStates = new Map<string, EngineState>();
  const unansweredLoads = new Map<string, ReturnType<typeof createUnansweredLoads>>();
  let stateSequence = 0;

  /**
   * Starts to manage an engine that other processes may have sent commands to until now, at the
   * earliest in `firstRun`.
   */
  function take(id: string, firstRun: number | undefined): void {
    removeExpiredLoads(host.now());
    const unanswered = unansweredLoads.get(id) ?? createUnansweredLoads();
    unansweredLoads.set(id, unanswered);
    unanswered.recordOthers(host.now(), host.getTimeOfDay(), firstRun);
    open(id, USE_REPORT_MS);
  }

  /** Starts to manage an engine. */
  function open(id: string, delayMs = 0): void {
    const upstream = parts.upstreams.tryGet(id);
    if (!upstream || engines.has(id)) {
      return;
    }

    removeExpiredLoads(host.now());
    const unanswered = unansweredLoads.get(id) ?? createUnansweredLoads();
    unansweredLoads.set(id, unanswered);
    const onHead: Parameters<EngineControl['getReport']>[1] = (status, headers) =>
      host.observeHead(upstream, status, headers);
    const getService = () => host.getEngineService(upstream.service);
    const engine = createEngine(
      {
        ...host,
        sendCommand: async (command, { run, ...condition }) => {
          if (host.getRestMs(host.now(), upstream) > 0) {
            return { ok: false, error: { kind: 'notSent', reason: 'resting' } };
          }
          const { expectedSequence } = condition;
          const setAnswered =
            command.kind === 'load'
              ? unanswered.begin(host.now(), run, expectedSequence)
              : () => {};
          const holder = options.address;
          const result = await host.control.sendCommand(
            upstream,
            command,
            { ...condition, holder },
            onHead,
          );
          if (result.ok || result.error.kind !== 'noAnswer') {
            setAnswered();
          }
          return result;
        },
        getReport: () => host.control.getReport(upstream, onHead),
        getRestMs: (now) => host.getRestMs(now, upstream),
        tryGetFence: (now) => host.tryGetFence(now, id),
        getUse: (now, key) => parts.usage.getUse(now, id, key),
        getBusyKeys: (now) => parts.usage.getBusyAdapters(now, id).map(([key]) => key),
        getVersion: host.getVersion,
        getModels: () => getService()?.models ?? [],
        getMaxConcurrentLoads: () => host.getMaxConcurrentLoads(id),
        getAdapterSlots: (startedAt, sequence) => {
          const slots = getService()?.adapterSlots ?? 0;
          return slots - unanswered.getReserve(host.now(), { startedAt, sequence, slots });
        },
        announce,
        refuse: (request, reason) => {
          host.log('loadRefused', { engine: id, adapter: request.key, reason });
          request.requesters.forEach((requester) => host.refuse(requester, id, request.key));
        },
        countCommand: (kind, outcome) => host.countCommand(kind, outcome),
      },
      upstream,
      { delayMs },
    );
    engines.set(id, engine);
    engine.run();
  }

  function close(id: string): void {
    engines.get(id)?.stop();
    engines.delete(id);
    lastStates.delete(id);
  }

  function announce(
    state: Omit<EngineState, 'fence' | 'sequence' | 'canLoad'>,
    requesters: readonly string[],
  ): void {
    const fence = host.tryGetFence(host.now(), state.engine);
    stateSequence += 1;
    const completeState = {
      ...state,
      fence: fence ?? lastStates.get(state.engine)?.fence ?? 0,
      sequence: stateSequence,
      canLoad: fence !== undefined && state.isReachable,
    };
    lastStates.set(state.engine, completeState);
    host.announce(completeState, requesters);
  }

  /** Removes the records of engines that have no load left that may be executed late. */
  function removeExpiredLoads(now: number): void {
    unansweredLoads.forEach((loads, id) => {
      if (!engines.has(id) && loads.isExpired(now)) {
        unansweredLoads.delete(id);
      }
    });
  }

  /** Discards the state of an engine that has restarted under the same id and reads it again. */
  function reopenIfRestarted(upstream: Upstream): void {
    const engine = engines.get(upstream.id);
    if (engine && engine.upstream.startedAt !== upstream.startedAt) {
      close(upstream.id);
      open(upstream.id);
    }
  }

  return {
    take,
    open,
    close,
    reopenIfRestarted,
    tryGet: (id: string) => engines.get(id),
    getIds: () => [...engines.keys()],
    /** Withdraws reports that engines do not respond: this VM reaches no upstream. */
    withdrawSilences: () => engines.forEach((engine) => engine.withdrawSilence()),
    announceStates: () => engines.forEach((engine) => engine.announce()),
  };
}
