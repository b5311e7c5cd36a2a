import type Message from '../mesh/Message';
import type Clock from '../shared/Clock';
import type Upstream from '../upstream/Upstream';
import type createPermitIssuer from './createPermitIssuer';
import type createRateLimits from './createRateLimits';
import type PermitReply from './PermitReply';

/** A reply takes a round trip between two VMs. The request goes elsewhere if none comes in time. */
const REPLY_TIMEOUT_MS = 150;
/** Pause before the next permit is wanted if there is no issuer, or none that replies. */
const NO_ISSUER_PAUSE_MS = 300;
const MAX_RETRY_AFTER_MS = 10_000;

type Incarnation = Pick<Upstream, 'id' | 'startedAt'>;

interface PermitsHost extends Clock {
  /** Returns the VM that issues the permits of an upstream; undefined if there is none at present. */
  tryGetIssuer(now: number, upstream: string): string | undefined;
  /** Returns whether the message was queued for sending. */
  send(to: string, message: Message): boolean;
  /** Returns a number from 0 to 1. */
  random(): number;
  countPermit(outcome: 'granted' | 'refused' | 'noIssuer'): void;
}

interface Closing {
  startedAt: number;
  /** No permit is wanted before this time. */
  until: number;
  /** Time at which the next refused caller is told to return. */
  nextReturnAt: number;
  intervalMs: number;
}

/**
 * Gets a permit for each request to an upstream that states a limit. Without one, the request is not
 * sent: it goes to another upstream, or its caller is told when to return.
 */
export default function createPermits(
  host: PermitsHost,
  parts: {
    rateLimits: Pick<ReturnType<typeof createRateLimits>, 'tryGet' | 'tryEncode' | 'receive'>;
    issuer: Pick<ReturnType<typeof createPermitIssuer>, 'decide'>;
  },
  options: { address: string },
) {
  const closings = new Map<string, Closing>();
  const waiting = new Map<number, (reply: PermitReply | undefined) => void>();
  let lastId = 0;

  function isLimited(upstream: Incarnation): boolean {
    return parts.rateLimits.tryGet(upstream) !== undefined;
  }

  /** Returns whether no permit can be had for an upstream now. */
  function isClosed(now: number, upstream: Incarnation): boolean {
    const closing = closings.get(upstream.id);
    return closing?.startedAt === upstream.startedAt && now < closing.until && isLimited(upstream);
  }

  /** Returns whether a request may be sent to an upstream now; uses up one permit if it is limited. */
  async function acquire(upstream: Incarnation): Promise<boolean> {
    const now = host.now();
    const perSecond = parts.rateLimits.tryGet(upstream);
    if (perSecond === undefined) {
      return true;
    }
    if (isClosed(now, upstream)) {
      return false;
    }
    const issuer = host.tryGetIssuer(now, upstream.id);
    const reply =
      issuer === options.address
        ? parts.issuer.decide(now, options.address, upstream.id, perSecond)
        : issuer && (await requestPermit(issuer, upstream.id));
    if (!reply) {
      host.countPermit('noIssuer');
      const intervalMs = closings.get(upstream.id)?.intervalMs ?? NO_ISSUER_PAUSE_MS;
      close(upstream, { isGranted: false, waitMs: NO_ISSUER_PAUSE_MS, intervalMs });
      return false;
    }
    host.countPermit(reply.isGranted ? 'granted' : 'refused');
    if (!reply.isGranted) {
      close(upstream, reply);
    }
    return reply.isGranted;
  }

  function requestPermit(issuer: string, upstream: string): Promise<PermitReply | undefined> {
    const now = host.now();
    lastId += 1;
    const id = lastId;
    const statement = parts.rateLimits.tryEncode(now, upstream);
    if (!statement || !host.send(issuer, { kind: 'permitWanted', id, statement })) {
      return Promise.resolve(undefined);
    }
    return new Promise((resolve) => {
      const cancel = host.setTimer(REPLY_TIMEOUT_MS, () => end(undefined));
      const end = (reply: PermitReply | undefined) => {
        cancel();
        waiting.delete(id);
        resolve(reply);
      };
      waiting.set(id, end);
    });
  }

  function close({ id, startedAt }: Incarnation, { waitMs, intervalMs }: PermitReply): void {
    const until = host.now() + waitMs;
    const known = closings.get(id);
    const nextReturnAt = Math.max(
      known?.startedAt === startedAt ? known.nextReturnAt : 0,
      until + host.random() * intervalMs,
    );
    closings.set(id, { startedAt, until, nextReturnAt, intervalMs });
  }

  /**
   * Returns the time after which a refused caller can get a permit of one of the upstreams; callers
   * that are refused one after the other are spread over the permits that this VM can expect.
   */
  function getRetryAfterMs(now: number, upstreams: readonly Incarnation[]): number {
    const [first] = upstreams
      .flatMap(({ id }) => closings.get(id) ?? [])
      .sort((left, right) => left.nextReturnAt - right.nextReturnAt);
    if (!first) {
      return NO_ISSUER_PAUSE_MS;
    }
    const returnAt = Math.max(first.nextReturnAt, first.until, now);
    first.nextReturnAt = Math.min(returnAt + first.intervalMs, now + MAX_RETRY_AFTER_MS);
    return Math.ceil(Math.min(returnAt - now, MAX_RETRY_AFTER_MS));
  }

  /** Replies to another VM that wants a permit, if this VM issues them. */
  function handleRequest(
    from: string,
    { id, statement }: Extract<Message, { kind: 'permitWanted' }>,
  ): void {
    const now = host.now();
    parts.rateLimits.receive(now, [statement]);
    const { upstream, startedAt } = statement;
    const perSecond = parts.rateLimits.tryGet({ id: upstream, startedAt });
    const reply =
      perSecond === undefined
        ? { isGranted: true, waitMs: 0, intervalMs: 0 }
        : parts.issuer.decide(now, from, upstream, perSecond);
    if (perSecond === undefined) {
      // The VM keeps a limit that has ended.
      const newest = parts.rateLimits.tryEncode(now, upstream);
      host.send(from, { kind: 'upstreamLimits', statements: newest ? [newest] : [] });
    }
    if (reply) {
      host.send(from, { kind: 'permit', id, ...reply });
    }
  }

  return {
    isLimited,
    isClosed,
    acquire,
    getRetryAfterMs,
    handleRequest,
    handleReply: (id: number, reply: PermitReply) => waiting.get(id)?.(reply),
    /** Ends the pause of an upstream, whose limit has changed. */
    reopen: (upstream: string) => closings.delete(upstream),
  };
}
