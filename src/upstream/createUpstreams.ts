import type Log from '../events/Log';
import type Clock from '../shared/Clock';
import type Upstream from './Upstream';

/**
 * Registrations that expired during an outage of the key-value service are renewed within 2 s of
 * its end.
 */
const REMOVAL_GRACE_MS = 2300;
/**
 * An upstream that had left, and whose registration comes back with an older copy of the key-value
 * service, is used again after this time; by then the service has dropped registrations that no
 * upstream renews.
 */
const RETURN_AFTER_MS = 15_000;

interface UpstreamsHost extends Clock {
  /** Returns the time of the last failed call to the key-value service. */
  getKeyValueFailedAt(): number;
  /** Returns when the key-value service last came back from an older copy, or -Infinity. */
  getKeyValueRestoredAt(): number;
  onChange(upstream: Upstream): void;
  onRemoved(id: string): void;
  log: Log;
}

/** Holds the upstreams that are registered in the key-value service. */
export default function createUpstreams(host: UpstreamsHost) {
  const upstreams = new Map<string, Upstream>();
  const pendingRemovals = new Map<string, () => void>();
  const pendingReturns = new Map<string, () => void>();
  const removed = new Map<string, { startedAt: number; at: number }>();

  /** Applies an upstream's current registration; undefined if it is deleted or unreadable. */
  function update(id: string, upstream: Upstream | undefined): void {
    const known = upstreams.get(id);
    pendingRemovals.get(id)?.();
    pendingRemovals.delete(id);
    pendingReturns.get(id)?.();
    pendingReturns.delete(id);
    if (!upstream) {
      if (known) {
        scheduleRemoval(id);
      }
      return;
    }
    if (known && upstream.startedAt < known.startedAt) {
      return;
    }
    const returnsInMs = known ? 0 : getReturnDelayMs(id, upstream);
    if (returnsInMs > 0) {
      const retry = () => update(id, upstream);
      pendingReturns.set(id, host.setTimer(returnsInMs, retry));
      return;
    }
    removed.delete(id);
    upstreams.set(id, upstream);
    if (known?.state !== upstream.state || known.startedAt !== upstream.startedAt) {
      const { state, service, address, startedAt, softwareVersion } = upstream;
      host.log('upstreamSeen', {
        upstream: id,
        state,
        service,
        address,
        startedAt,
        softwareVersion,
      });
    }
    host.onChange(upstream);
  }

  /** Returns how long an upstream that had left is not used again, in milliseconds. */
  function getReturnDelayMs(id: string, { startedAt }: Upstream): number {
    const leaving = removed.get(id);
    const isRestored =
      leaving?.startedAt === startedAt && leaving.at <= host.getKeyValueRestoredAt();
    return isRestored ? leaving.at + RETURN_AFTER_MS - host.now() : 0;
  }

  function scheduleRemoval(id: string): void {
    const sinceFailureMs = host.now() - host.getKeyValueFailedAt();
    if (sinceFailureMs >= REMOVAL_GRACE_MS) {
      removeUpstream(id);
      return;
    }
    pendingRemovals.set(
      id,
      host.setTimer(REMOVAL_GRACE_MS - sinceFailureMs, () => {
        pendingRemovals.delete(id);
        removeUpstream(id);
      }),
    );
  }

  function removeUpstream(id: string): void {
    const now = host.now();
    removed.forEach(({ at }, removedId) => {
      if (now - at > RETURN_AFTER_MS) {
        removed.delete(removedId);
      }
    });
    removed.set(id, { startedAt: upstreams.get(id)!.startedAt, at: now });
    upstreams.delete(id);
    host.log('upstreamGone', { upstream: id });
    host.onRemoved(id);
  }

  return {
    update,
    tryGet: (id: string) => upstreams.get(id),
    getAll: () => [...upstreams.values()],
  };
}
