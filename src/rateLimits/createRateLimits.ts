import { match } from 'ts-pattern';
import type Log from '../events/Log';
import type ResponseHead from '../gateway/ResponseHead';
import type Upstream from '../upstream/Upstream';

const MIN_REDIRECT_STATUS = 300;

interface RateLimitsHost {
  setLimitCount(count: number): void;
  log: Log;
}

interface Limit {
  startedAt: number;
  perSecond: number;
}

/** Holds the limits that upstreams state in their responses. */
export default function createRateLimits(host: RateLimitsHost) {
  const limits = new Map<string, Limit>();

  /** Returns the requests a second that an upstream takes; undefined if it states no limit. */
  function tryGet({ id, startedAt }: Pick<Upstream, 'id' | 'startedAt'>): number | undefined {
    const limit = limits.get(id);
    return limit?.startedAt === startedAt ? limit.perSecond : undefined;
  }

  /** Records what the head of a response states about the upstream's limit. */
  function observe(
    now: number,
    upstream: Pick<Upstream, 'id' | 'startedAt'>,
    head: Pick<ResponseHead, 'status' | 'limit'>,
    sentAt: number,
  ): void {
    match(head.limit)
      .with({ kind: 'stated' }, ({ perSecond }) => apply(now, upstream, perSecond, sentAt))
      .with({ kind: 'none' }, () => {
        if (head.status < MIN_REDIRECT_STATUS) {
          apply(now, upstream, undefined, sentAt);
        }
      })
      .with({ kind: 'unreadable' }, ({ text }) =>
        host.log('limitUnreadable', { upstream: upstream.id, text }),
      )
      .exhaustive();
  }

  function apply(
    now: number,
    upstream: Pick<Upstream, 'id' | 'startedAt'>,
    perSecond: number | undefined,
    sentAt: number,
  ): void {
    const { id, startedAt } = upstream;
    const former = tryGet(upstream);
    if (former === perSecond) {
      return;
    }
    if (perSecond === undefined) {
      limits.delete(id);
    } else {
      limits.set(id, { startedAt, perSecond });
    }
    host.setLimitCount(limits.size);
    host.log('upstreamLimited', {
      upstream: id,
      perSecond,
      former,
      sentAgoMs: Math.round(now - sentAt),
    });
  }

  return {
    tryGet,
    observe,
    remove: (upstream: string) => {
      limits.delete(upstream);
      host.setLimitCount(limits.size);
    },
  };
}
