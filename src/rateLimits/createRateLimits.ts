import { match } from 'ts-pattern';
import type Log from '../events/Log';
import type ResponseHead from '../gateway/ResponseHead';
import type Message from '../mesh/Message';
import type Upstream from '../upstream/Upstream';
import isOutdated from './isOutdated';
import type LimitStatement from './LimitStatement';

type WireStatement = Extract<Message, { kind: 'upstreamLimits' }>['statements'][number];
type Incarnation = Pick<Upstream, 'id' | 'startedAt'>;

const MIN_REDIRECT_STATUS = 300;
/** The end of a limit is repeated for this long, then only told to VMs that still keep the limit. */
const REPEAT_END_MS = 10_000;
/** The limit of an upstream whose registration is missing; it may only have lapsed. */
const FORGET_AFTER_MS = 60_000;

interface RateLimitsHost {
  /** Returns whether an upstream is registered. */
  isRegistered(upstream: string): boolean;
  /** Returns whether this VM issues the permits of an upstream. */
  isIssuer(now: number, upstream: string): boolean;
  broadcast(message: Message): void;
  /** Called when the limit of an upstream has changed. */
  onChange(upstream: string): void;
  setLimitCount(count: number): void;
  log: Log;
}

/**
 * Holds the limits that upstreams state in their responses. A VM announces a changed limit to all
 * others at once. It repeats what it has announced, as does the issuer of the upstream's permits,
 * for VMs that missed the announcement or started later.
 */
export default function createRateLimits(host: RateLimitsHost, options: { incarnation: string }) {
  const statements = new Map<string, LimitStatement>();
  let sequence = 0;

  /** Returns the requests a second that an upstream takes; undefined if it states no limit. */
  function tryGet({ id, startedAt }: Incarnation): number | undefined {
    const statement = statements.get(id);
    return statement?.startedAt === startedAt ? statement.perSecond : undefined;
  }

  /**
   * Records what the head of a response to a request that was sent at `sentAt` states. Only a success
   * without a limit ends one: a failure may come from something between this VM and the upstream.
   */
  function observe(
    now: number,
    upstream: Incarnation,
    head: Pick<ResponseHead, 'status' | 'limit'>,
    sentAt: number,
  ): void {
    match(head.limit)
      .with({ kind: 'stated' }, ({ perSecond }) =>
        recordStatement(now, upstream, perSecond, sentAt),
      )
      .with({ kind: 'none' }, () => {
        if (statements.has(upstream.id) && head.status < MIN_REDIRECT_STATUS) {
          recordStatement(now, upstream, undefined, sentAt);
        }
      })
      .with({ kind: 'unreadable' }, ({ text }) =>
        host.log('limitUnreadable', { upstream: upstream.id, text }),
      )
      .exhaustive();
  }

  function recordStatement(
    now: number,
    { id, startedAt }: Incarnation,
    perSecond: number | undefined,
    sentAt: number,
  ): void {
    const known = statements.get(id);
    sequence += 1;
    const statement: LimitStatement = {
      upstream: id,
      startedAt,
      source: options.incarnation,
      sequence,
      perSecond,
      madeAfter: sentAt,
      madeBefore: now,
    };
    if (known && isOutdated(statement, known)) {
      return;
    }
    apply(now, statement);
    if (known?.startedAt !== startedAt || known.perSecond !== perSecond) {
      announce(now, [statement]);
    }
  }

  /** Applies statements that another VM has announced or repeated. */
  function receive(now: number, received: readonly WireStatement[]): void {
    received.forEach((wireStatement) => {
      const statement = decode(now, wireStatement);
      const known = statements.get(statement.upstream);
      if (known?.source === statement.source && known.sequence >= statement.sequence) {
        return;
      }
      if (!known || !isOutdated(statement, known)) {
        apply(now, statement);
      } else if (known.source === options.incarnation && known.perSecond !== statement.perSecond) {
        // The sender lacks this VM's newest statement, which repeated the one before it.
        announce(now, [known]);
      }
    });
  }

  function apply(now: number, statement: LimitStatement): void {
    const { upstream, perSecond, startedAt, source, madeAfter } = statement;
    const known = statements.get(upstream);
    const former = known?.startedAt === startedAt ? known.perSecond : undefined;
    statements.set(upstream, statement);
    if (former !== perSecond) {
      const ageMs = Math.round(now - madeAfter);
      host.log('upstreamLimited', { upstream, perSecond, former, source, ageMs });
      setLimitCount();
      host.onChange(upstream);
    }
  }

  function announce(now: number, announced: readonly LimitStatement[]): void {
    host.broadcast({
      kind: 'upstreamLimits',
      statements: announced.map((statement) => encode(now, statement)),
    });
  }

  /** Repeats statements for VMs that lack them; called at regular intervals. */
  function publish(now: number): void {
    statements.forEach(({ upstream, madeBefore }) => {
      if (!host.isRegistered(upstream) && now - madeBefore > FORGET_AFTER_MS) {
        statements.delete(upstream);
      }
    });
    setLimitCount();
    const repeated = [...statements.values()].filter(
      ({ upstream, perSecond, source, madeBefore }) =>
        host.isRegistered(upstream) &&
        (perSecond !== undefined || now - madeBefore < REPEAT_END_MS) &&
        (source === options.incarnation || host.isIssuer(now, upstream)),
    );
    if (repeated.length > 0) {
      announce(now, repeated);
    }
  }

  /** Returns the statement of an upstream in the form in which other VMs receive it. */
  function tryEncode(now: number, upstream: string): WireStatement | undefined {
    const statement = statements.get(upstream);
    return statement && encode(now, statement);
  }

  function setLimitCount(): void {
    host.setLimitCount(getLimitedUpstreams().length);
  }

  function getLimitedUpstreams(): string[] {
    return [...statements.values()]
      .filter(({ upstream, perSecond }) => perSecond !== undefined && host.isRegistered(upstream))
      .map(({ upstream }) => upstream);
  }

  return { tryGet, observe, receive, publish, tryEncode, getLimitedUpstreams };
}

function encode(now: number, { madeAfter, madeBefore, ...statement }: LimitStatement) {
  return { ...statement, oldestAgeMs: now - madeAfter, newestAgeMs: now - madeBefore };
}

function decode(now: number, { oldestAgeMs, newestAgeMs, ...statement }: WireStatement) {
  return {
    ...statement,
    perSecond: statement.perSecond,
    madeAfter: now - oldestAgeMs,
    madeBefore: now - newestAgeMs,
  };
}
