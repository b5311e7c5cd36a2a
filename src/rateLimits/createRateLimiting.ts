import type Log from '../events/Log';
import type Members from '../members/Members';
import type Message from '../mesh/Message';
import rankByRendezvous from '../shared/rankByRendezvous';
import type Clock from '../shared/Clock';
import createPermitIssuer from './createPermitIssuer';
import createPermits from './createPermits';
import createRateLimits from './createRateLimits';

/** An issuer is determined anew after this time; membership changes more slowly. */
const ISSUER_CACHE_MS = 100;

interface RateLimitingHost extends Clock {
  members: Pick<Members, 'getSettled'>;
  /** Returns whether an upstream is registered. */
  isRegistered(upstream: string): boolean;
  broadcast(message: Message): void;
  /** Returns whether the message was queued for sending. */
  send(to: string, message: Message): boolean;
  /** Returns a number from 0 to 1. */
  random(): number;
  setLimitCount(count: number): void;
  countPermit(outcome: 'granted' | 'refused' | 'noIssuer'): void;
  log: Log;
}

/**
 * Keeps the limits that upstreams state for the requests of all VMs together. For each upstream, one
 * VM issues a permit for every request: the first by rendezvous hashing among the VMs that have been
 * members for some time. No permit is issued without an issuer, so that a limit is never exceeded
 * because VMs do not hear each other.
 */
export default function createRateLimiting(
  host: RateLimitingHost,
  options: { address: string; incarnation: string },
) {
  const issuers = new Map<string, { at: number; vm: string | undefined }>();
  const isIssuer = (now: number, upstream: string) =>
    tryGetIssuer(now, upstream) === options.address;
  const rateLimits = createRateLimits(
    { ...host, isIssuer, onChange: (upstream) => permits.reopen(upstream) },
    options,
  );
  const issuer = createPermitIssuer({ ...host, isIssuer });
  const permits = createPermits({ ...host, tryGetIssuer }, { rateLimits, issuer }, options);

  function tryGetIssuer(now: number, upstream: string): string | undefined {
    const known = issuers.get(upstream);
    if (known && now - known.at < ISSUER_CACHE_MS) {
      return known.vm;
    }
    const [vm] = rankByRendezvous(`permits ${upstream}`, host.members.getSettled(now));
    issuers.set(upstream, { at: now, vm });
    return vm;
  }

  return {
    ...permits,
    isIssuer,
    tryGetIssuer,
    tryGet: rateLimits.tryGet,
    observe: rateLimits.observe,
    receive: rateLimits.receive,
    /** Repeats limits for VMs that lack them; called at regular intervals. */
    publish: rateLimits.publish,
    /** Takes over, or gives up, the permits of upstreams; called at regular intervals. */
    refresh: (now: number) => issuer.refresh(now, rateLimits.getLimitedUpstreams()),
    /** Ends the issue of permits of an upstream whose registration was removed. */
    remove: (upstream: string) => {
      issuer.remove(upstream);
      permits.reopen(upstream);
      issuers.delete(upstream);
    },
  };
}
