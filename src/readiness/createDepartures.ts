import type Log from '../events/Log';
import type ResponseHead from '../gateway/ResponseHead';
import type Message from '../mesh/Message';
import type Upstream from '../upstream/Upstream';
import type Obstacle from './Obstacle';

/** A departure is kept this long after its upstream was last registered. */
const FORGET_AFTER_MS = 60_000;

type Incarnation = Pick<Upstream, 'id' | 'startedAt'>;

interface DeparturesHost {
  /** Returns the registration of an upstream. */
  tryGetUpstream(id: string): Upstream | undefined;
  broadcast(message: Message): void;
  /** Called once for each incarnation of an upstream that is known to leave. */
  onDeparture(now: number, upstream: string): void;
  countDeparture(): void;
  log: Log;
}

interface Departure {
  startedAt: number;
  /** Whether a response told this VM, which then tells the others. */
  isOwn: boolean;
  /** Whether the registration has said it too, which reaches all VMs. */
  isRegistered: boolean;
  seenAt: number;
}

/**
 * Keeps which incarnations of upstreams leave: from registrations, from responses, and from other VMs
 * that got such a response. An incarnation that leaves never becomes ready again, whatever a later
 * record says.
 */
export default function createDepartures(host: DeparturesHost) {
  const departures = new Map<string, Departure>();

  /** Records the state in an upstream's registration. */
  function observeRegistration(now: number, { id, startedAt, state }: Upstream): void {
    if (state === 'leaving') {
      record(now, { id, startedAt }, { isRegistered: true });
    }
  }

  /** Records what the head of a response states, and announces it to the other VMs. */
  function observe(
    now: number,
    { id, startedAt }: Incarnation,
    head: Pick<ResponseHead, 'isLeaving'>,
  ): void {
    if (head.isLeaving && record(now, { id, startedAt }, { isOwn: true })) {
      host.countDeparture();
      host.log('upstreamStatedLeaving', { upstream: id, startedAt, source: 'response' });
      announce([{ id, startedAt }]);
    }
  }

  /** Records departures that another VM has announced. */
  function receive(now: number, from: string, announced: readonly Incarnation[]): void {
    announced.forEach((incarnation) => {
      if (record(now, incarnation, {})) {
        host.log('upstreamStatedLeaving', { upstream: incarnation.id, source: from });
      }
    });
  }

  /** Records a departure; returns false if it was known. */
  function record(
    now: number,
    { id, startedAt }: Incarnation,
    source: Partial<Pick<Departure, 'isOwn' | 'isRegistered'>>,
  ): boolean {
    const known = departures.get(id);
    if (known && known.startedAt >= startedAt) {
      known.isRegistered ||= known.startedAt === startedAt && source.isRegistered === true;
      return false;
    }
    departures.set(id, {
      startedAt,
      isOwn: false,
      isRegistered: false,
      ...source,
      seenAt: now,
    });
    host.onDeparture(now, id);
    return true;
  }

  function announce(upstreams: readonly Incarnation[]): void {
    host.broadcast({
      kind: 'upstreamsLeaving',
      upstreams: upstreams.map(({ id, startedAt }) => ({ id, startedAt })),
    });
  }

  /**
   * Repeats departures that no registration has named, for VMs that missed them or started later;
   * called at regular intervals.
   */
  function publish(now: number): void {
    const repeated: Incarnation[] = [];
    departures.forEach((departure, id) => {
      const upstream = host.tryGetUpstream(id);
      if (upstream) {
        departure.seenAt = now;
      } else if (now - departure.seenAt > FORGET_AFTER_MS) {
        departures.delete(id);
      }
      if (upstream && departure.isOwn && !departure.isRegistered && isLeaving(upstream)) {
        repeated.push(upstream);
      }
    });
    if (repeated.length > 0) {
      announce(repeated);
    }
  }

  function isLeaving({ id, startedAt }: Incarnation): boolean {
    const departure = departures.get(id);
    return departure !== undefined && departure.startedAt >= startedAt;
  }

  return {
    observeRegistration,
    observe,
    receive,
    publish,
    isLeaving,
    tryGetObstacle: (_: number, upstream: Incarnation): Obstacle | undefined =>
      isLeaving(upstream) ? { kind: 'leaving', isBinding: true } : undefined,
  };
}
