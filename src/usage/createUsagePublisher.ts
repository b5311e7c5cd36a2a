import type EngineState from '../engines/EngineState';
import createReportCollector from '../load/createReportCollector';
import type UpstreamReport from '../load/UpstreamReport';
import type Message from '../mesh/Message';
import type createBroadcaster from '../broadcast/createBroadcaster';
import type Usage from './Usage';

type UsageMessage = Extract<Message, { kind: 'usage' }>;
type EngineUsage = UsageMessage['engines'][number];

interface UsagePublisherHost {
  now(): number;
  send(to: string, message: Message): boolean;
  tryGetOwner(engine: string): string | undefined;
  /** Returns the prefill backlog and the busy adapters of each engine that this VM owns. */
  getOwnedEngines(now: number): EngineUsage[];
  /** Returns what this VM learned about upstreams that state a load since the last call. */
  takeUpstreamReports?(now: number): UpstreamReport[];
  broadcaster: ReturnType<typeof createBroadcaster>;
}

/**
 * Publishes this VM's in-flight requests and the state of its engines to the other VMs. If there
 * are many VMs, the hub of each data centre adds up the counts there and publishes the sum.
 */
export default function createUsagePublisher(
  host: UsagePublisherHost,
  usage: Pick<
    Usage,
    'takeInFlightCounts' | 'takeAdapterUsages' | 'takeAdapterUsage' | 'getMergedInFlightCounts'
  >,
  options: { address: string; dataCentre: string },
) {
  const { broadcaster } = host;
  const engines = new Map<string, EngineUsage>();
  const states = new Map<string, EngineState>();
  const reports = createReportCollector();

  /** Publishes the in-flight requests, and the engine updates collected since the last call. */
  function publish(): void {
    const now = host.now();
    usage.takeAdapterUsages(now).forEach(({ upstream, adapterUsage }) => {
      const owner = host.tryGetOwner(upstream);
      if (owner !== undefined && owner !== options.address) {
        host.send(owner, { kind: 'share', upstream, share: adapterUsage });
      }
    });
    host
      .getOwnedEngines(now)
      .forEach((engineUsage) => engines.set(engineUsage.engine, engineUsage));
    reports.add(now, host.takeUpstreamReports?.(now) ?? []);
    const upstreams = reports.take(now);
    const engineUpdates = {
      engines: [...engines.values()],
      states: [...states.values()],
      ...(upstreams.length > 0 ? { upstreams } : {}),
    };
    engines.clear();
    states.clear();
    const hub = broadcaster.isRelayed() ? broadcaster.getHub(now) : undefined;
    if (hub === options.address) {
      const { dataCentre } = options;
      usage.takeInFlightCounts();
      broadcaster.broadcast({
        kind: 'usage',
        dataCentre,
        loads: usage.getMergedInFlightCounts(now),
        ...engineUpdates,
      });
      return;
    }
    const message: Message = { kind: 'usage', loads: usage.takeInFlightCounts(), ...engineUpdates };
    if (hub === undefined) {
      broadcaster.broadcast(message);
    } else {
      host.send(hub, message);
    }
  }

  /** Reports this VM's use of an engine to its owner at once, since the use of an adapter ended. */
  function publishIdle(upstream: string): void {
    const owner = host.tryGetOwner(upstream);
    if (owner !== undefined && owner !== options.address) {
      const share = usage.takeAdapterUsage(host.now(), upstream);
      host.send(owner, { kind: 'share', upstream, share });
    }
  }

  /** Reports the adapters that this VM uses on an engine to a new owner, if there are any. */
  function publishUse(upstream: string, owner: string): void {
    const share = usage.takeAdapterUsage(host.now(), upstream);
    if (share.length > 0 && owner !== options.address) {
      host.send(owner, { kind: 'share', upstream, share });
    }
  }

  /**
   * Publishes an engine's state immediately to all VMs if broadcasts are not relayed. Otherwise
   * sends it immediately to `requesters` and publishes it to all VMs with the next `publish`.
   */
  function publishState(state: EngineState, requesters: readonly string[]): void {
    const message: Message = { kind: 'engineState', ...state };
    if (!broadcaster.isRelayed()) {
      broadcaster.broadcast(message);
      return;
    }
    states.set(state.engine, state);
    requesters.forEach((requester) => host.send(requester, message));
  }

  /** Keeps the engine updates of a VM of this data centre, to publish them with this VM's own. */
  function collect(message: UsageMessage): void {
    if (!broadcaster.isRelayed() || message.dataCentre !== undefined) {
      return;
    }
    reports.add(host.now(), message.upstreams ?? []);
    message.engines.forEach((engineUsage) => engines.set(engineUsage.engine, engineUsage));
    message.states.forEach((state) => {
      const known = states.get(state.engine);
      if (!known || known.fence < state.fence || known.sequence < state.sequence) {
        states.set(state.engine, state);
      }
    });
  }

  return { publish, publishIdle, publishUse, publishState, collect };
}
