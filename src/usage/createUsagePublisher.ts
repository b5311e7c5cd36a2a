import type EngineState from '../engines/EngineState';
import type Message from '../mesh/Message';
import type createBroadcaster from '../broadcast/createBroadcaster';
import type Usage from './Usage';

type Tidings = Extract<Message, { kind: 'usage' }>;
type EngineUse = Tidings['engines'][number];

interface UsagePublisherHost {
  now(): number;
  send(to: string, message: Message): boolean;
  tryGetOwner(engine: string): string | undefined;
  /** Engines that this VM owns: prompts that wait there, and adapters in use. */
  getOwnedEngines(now: number): EngineUse[];
  broadcaster: ReturnType<typeof createBroadcaster>;
}

/**
 * Tells the other VMs of this VM's requests and engines. Where there are many VMs, the hub of each
 * data centre adds up what the VMs there tell, and passes on the sum.
 */
export default function createUsagePublisher(
  host: UsagePublisherHost,
  usage: Pick<Usage, 'takeInFlightCounts' | 'takeAdapterUsages' | 'getMergedInFlightCounts'>,
  options: { address: string; dataCentre: string },
) {
  const { broadcaster } = host;
  const engines = new Map<string, EngineUse>();
  const states = new Map<string, EngineState>();

  /** Tells what has come up since the last time. */
  function publish(): void {
    const now = host.now();
    usage.takeAdapterUsages(now).forEach(({ upstream, share }) => {
      const owner = host.tryGetOwner(upstream);
      if (owner !== undefined && owner !== options.address) {
        host.send(owner, { kind: 'share', upstream, share });
      }
    });
    host.getOwnedEngines(now).forEach((use) => engines.set(use.engine, use));
    const news = { engines: [...engines.values()], states: [...states.values()] };
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
        ...news,
      });
      return;
    }
    const message: Message = { kind: 'usage', loads: usage.takeInFlightCounts(), ...news };
    if (hub === undefined) {
      broadcaster.broadcast(message);
    } else {
      host.send(hub, message);
    }
  }

  /** Has an engine's state told: at once to the VMs that wait for it or where VMs are few. */
  function publishState(state: EngineState, askers: readonly string[]): void {
    const message: Message = { kind: 'engineState', ...state };
    if (!broadcaster.isRelayed()) {
      broadcaster.broadcast(message);
      return;
    }
    states.set(state.engine, state);
    askers.forEach((asker) => host.send(asker, message));
  }

  /** Keeps what a VM of this data centre has told, to be passed on with this VM's own. */
  function collect(tidings: Tidings): void {
    if (!broadcaster.isRelayed() || tidings.dataCentre !== undefined) {
      return;
    }
    tidings.engines.forEach((use) => engines.set(use.engine, use));
    tidings.states.forEach((state) => {
      const known = states.get(state.engine);
      if (!known || known.fence < state.fence || known.sequence < state.sequence) {
        states.set(state.engine, state);
      }
    });
  }

  return { publish, publishState, collect };
}
