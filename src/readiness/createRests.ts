import { match } from 'ts-pattern';
import type Log from '../events/Log';
import type ResponseHead from '../gateway/ResponseHead';
import type Message from '../mesh/Message';
import type Upstream from '../upstream/Upstream';
import type Obstacle from './Obstacle';

/** An upstream that states a longer time is asked again after this one. */
const MAX_REST_MS = 3_600_000;

type RestMessage = Extract<Message, { kind: 'upstreamRested' }>;
type Incarnation = Pick<Upstream, 'id' | 'startedAt'>;

interface RestsHost {
  broadcast(message: Message): void;
  /** Called when an upstream has turned away a request of another VM. */
  onRestElsewhere(now: number, upstream: string): void;
  countRest(): void;
  log: Log;
}

/**
 * Keeps the times for which upstreams want no requests of this VM. An upstream binds only the VM that
 * it turns away; the others are told, so that they prefer upstreams that have said nothing.
 */
export default function createRests(host: RestsHost) {
  const rests = new Map<string, { startedAt: number; until: number }>();
  const restsElsewhere = new Map<string, { startedAt: number; until: number }>();

  /** Records what the head of a response states. A time that was stated before is never shortened. */
  function observe(now: number, upstream: Incarnation, head: Pick<ResponseHead, 'rest'>): void {
    match(head.rest)
      .with({ kind: 'none' }, () => {})
      .with({ kind: 'stated' }, ({ ms }) => recordRest(now, upstream, ms))
      .with({ kind: 'unreadable' }, ({ text }) =>
        host.log('restUnreadable', { upstream: upstream.id, text }),
      )
      .exhaustive();
  }

  function recordRest(now: number, { id, startedAt }: Incarnation, ms: number): void {
    removeEnded(now);
    const known = rests.get(id);
    if (known && startedAt < known.startedAt) {
      return;
    }
    const knownUntil = known?.startedAt === startedAt ? known.until : -Infinity;
    const until = Math.max(knownUntil, now + Math.min(ms, MAX_REST_MS));
    rests.set(id, { startedAt, until });
    const endsInMs = Math.round(until - now);
    host.countRest();
    host.log('upstreamRested', { upstream: id, statedMs: ms, endsInMs });
    const told = restsElsewhere.get(id);
    if (endsInMs > 0 && !(told?.startedAt === startedAt && told.until > now)) {
      restsElsewhere.set(id, { startedAt, until });
      host.broadcast({ kind: 'upstreamRested', upstream: id, startedAt, endsInMs });
    }
  }

  /** Records that an upstream has turned away a request of another VM. */
  function receive(now: number, { upstream, startedAt, endsInMs }: RestMessage): void {
    removeEnded(now);
    restsElsewhere.set(upstream, { startedAt, until: now + Math.min(endsInMs, MAX_REST_MS) });
    host.onRestElsewhere(now, upstream);
  }

  function removeEnded(now: number): void {
    [rests, restsElsewhere].forEach((known) =>
      known.forEach(({ until }, id) => {
        if (until <= now) {
          known.delete(id);
        }
      }),
    );
  }

  /** Returns the time until an upstream wants requests of this VM again; 0 if it does now. */
  function getEndsInMs(now: number, { id, startedAt }: Incarnation): number {
    const rest = rests.get(id);
    return rest?.startedAt === startedAt ? Math.max(0, rest.until - now) : 0;
  }

  function tryGetObstacle(now: number, upstream: Incarnation): Obstacle | undefined {
    const endsInMs = getEndsInMs(now, upstream);
    return endsInMs > 0 ? { kind: 'resting', isBinding: true, endsInMs } : undefined;
  }

  return {
    observe,
    receive,
    getEndsInMs,
    tryGetObstacle,
  };
}
