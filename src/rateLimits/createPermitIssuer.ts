import createTokenBucket from './createTokenBucket';
import type PermitReply from './PermitReply';

/**
 * A VM that becomes the issuer waits for this long, so that the permits of the former one have been
 * used and the change is known to all VMs.
 */
const HANDOVER_MS = 500;
/** VMs that wanted a permit within this time share the limit. */
const SHARING_MS = 4000;
const MAX_PAUSE_MS = 1000;
/** With many VMs, pauses grow in proportion, so that the issuer's work does not. */
const MIN_SPACING_MS = 10;

interface PermitIssuerHost {
  /** Returns whether this VM issues the permits of an upstream. */
  isIssuer(now: number, upstream: string): boolean;
  /** Returns a number from 0 to 1. */
  random(): number;
}

interface Issue {
  bucket: ReturnType<typeof createTokenBucket>;
  /** Time at which each VM last wanted a permit. */
  wantedAt: Map<string, number>;
}

/**
 * Issues the permits to send requests to upstreams that state a limit. One VM issues all permits of
 * an upstream, so that all VMs together keep its limit, however many they are.
 */
export default function createPermitIssuer(host: PermitIssuerHost) {
  const issues = new Map<string, Issue>();

  /** Returns the issue of an upstream, which starts when this VM becomes its issuer. */
  function tryGetIssue(now: number, upstream: string): Issue | undefined {
    if (!host.isIssuer(now, upstream)) {
      issues.delete(upstream);
      return undefined;
    }
    const issue = issues.get(upstream) ?? {
      bucket: createTokenBucket(now + HANDOVER_MS),
      wantedAt: new Map<string, number>(),
    };
    issues.set(upstream, issue);
    return issue;
  }

  /** Decides on a permit for one request of `vm`; undefined if this VM is not the issuer. */
  function decide(
    now: number,
    vm: string,
    upstream: string,
    perSecond: number,
  ): PermitReply | undefined {
    const issue = tryGetIssue(now, upstream);
    if (!issue) {
      return undefined;
    }
    issue.wantedAt.set(vm, now);
    issue.wantedAt.forEach((at, address) => {
      if (now - at > SHARING_MS) {
        issue.wantedAt.delete(address);
      }
    });
    const waitMs = issue.bucket.take(now, perSecond);
    if (waitMs === 0) {
      return { isGranted: true, waitMs: 0, intervalMs: 0 };
    }
    const intervalMs = issue.bucket.getIntervalMs(perSecond) * issue.wantedAt.size;
    // VMs come back at different times, each about twice for each permit that it can get.
    const maxPauseMs = Math.max(MAX_PAUSE_MS, MIN_SPACING_MS * issue.wantedAt.size);
    const pauseMs = Math.min(maxPauseMs, intervalMs / 2) * host.random();
    return { isGranted: false, waitMs: waitMs + pauseMs, intervalMs };
  }

  return {
    decide,
    /** Starts and ends issues as this VM becomes an issuer or ceases to be one. */
    refresh: (now: number, upstreams: readonly string[]) =>
      upstreams.forEach((upstream) => tryGetIssue(now, upstream)),
    remove: (upstream: string) => issues.delete(upstream),
  };
}
