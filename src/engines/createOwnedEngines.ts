import type Log from '../events/Log';
import type Service from '../manifest/Service';
import type Clock from '../shared/Clock';
import type Upstream from '../upstream/Upstream';
import type Upstreams from '../upstream/Upstreams';
import type Usage from '../usage/Usage';
import createEngine from './createEngine';
import type EngineControl from './EngineControl';
import type EngineState from './EngineState';

interface OwnedEnginesHost extends Clock {
  control: EngineControl;
  tryGetFence(now: number, engine: string): number | undefined;
  getVersion(key: string): number;
  getEngineService(service: string): Service['engine'];
  /** Loads that may be on their way to an engine now. */
  getMaxConcurrentLoads(engine: string): number;
  /** Tells all VMs, this one among them; those that wait for an adapter in it at once. */
  announce(state: EngineState, askers: readonly string[]): void;
  /** Tells a VM that an adapter is not loaded now. */
  refuse(asker: string, engine: string, key: string): void;
  countCommand(kind: string, outcome: string): void;
  log: Log;
}

/** The engines that this VM gives orders to. */
export default function createOwnedEngines(
  host: OwnedEnginesHost,
  parts: { upstreams: Pick<Upstreams, 'tryGet'>; usage: Pick<Usage, 'getUse'> },
  options: { address: string },
) {
  const engines = new Map<string, ReturnType<typeof createEngine>>();
  const lastStates = new Map<string, EngineState>();
  let stateSequence = 0;

  /** Begins to give orders to an engine. */
  function open(id: string): void {
    const upstream = parts.upstreams.tryGet(id);
    if (!upstream || engines.has(id)) {
      return;
    }

    const getService = () => host.getEngineService(upstream.service);
    const engine = createEngine(
      {
        ...host,
        sendCommand: (order, by) =>
          host.control.sendCommand(upstream, order, { ...by, holder: options.address }),
        getReport: () => host.control.getReport(upstream),
        tryGetFence: (now) => host.tryGetFence(now, id),
        getUse: (now, key) => parts.usage.getUse(now, id, key),
        getVersion: host.getVersion,
        getModels: () => getService()?.models ?? [],
        getMaxConcurrentLoads: () => host.getMaxConcurrentLoads(id),
        getPlaces: () => getService()?.adapterSlots ?? 0,
        announce,
        refuse: (want, reason) => {
          host.log('loadRefused', { engine: id, adapter: want.key, reason });
          want.requesters.forEach((asker) => host.refuse(asker, id, want.key));
        },
        countCommand: (kind, outcome) => host.countCommand(kind, outcome),
      },
      upstream,
    );
    engines.set(id, engine);
    engine.work();
  }

  function close(id: string): void {
    engines.get(id)?.stop();
    engines.delete(id);
    lastStates.delete(id);
  }

  function announce(
    state: Omit<EngineState, 'fence' | 'sequence' | 'canLoad'>,
    askers: readonly string[],
  ): void {
    const fence = host.tryGetFence(host.now(), state.engine);
    stateSequence += 1;
    const whole = {
      ...state,
      fence: fence ?? lastStates.get(state.engine)?.fence ?? 0,
      sequence: stateSequence,
      canLoad: fence !== undefined && state.isReachable,
    };
    lastStates.set(state.engine, whole);
    host.announce(whole, askers);
  }

  /** Begins anew where an engine has restarted under its id. */
  function reopenIfRestarted(upstream: Upstream): void {
    const engine = engines.get(upstream.id);
    if (engine && engine.upstream.startedAt !== upstream.startedAt) {
      close(upstream.id);
      open(upstream.id);
    }
  }

  return {
    open,
    close,
    reopenIfRestarted,
    tryGet: (id: string) => engines.get(id),
    getIds: () => [...engines.keys()],
    announceStates: () => engines.forEach((engine) => engine.announce()),
  };
}
