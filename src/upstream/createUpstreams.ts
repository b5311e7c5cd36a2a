import type Log from '../events/Log';
import type Clock from '../shared/Clock';
import type Upstream from './Upstream';

/**
 * Registrations that expired during an outage of the key-value service are renewed within 2 s of
 * its end.
 */
const REMOVAL_GRACE_MS = 2300;

interface UpstreamsHost extends Clock {
  /** Returns the time of the last failed call to the key-value service. */
  getKeyValueFailedAt(): number;
  onChange(upstream: Upstream): void;
  onRemoved(id: string): void;
  log: Log;
}

/** Holds the upstreams that are registered in the key-value service. */
export default function createUpstreams(host: UpstreamsHost) {
  const upstreams = new Map<string, Upstream>();
  const pendingRemovals = new Map<string, () => void>();

  /** Applies an upstream's current registration; undefined if it is deleted or unreadable. */
  function update(id: string, upstream: Upstream | undefined): void {
    const known = upstreams.get(id);
    pendingRemovals.get(id)?.();
    pendingRemovals.delete(id);
    if (!upstream) {
      if (known) {
        scheduleRemoval(id);
      }
      return;
    }
    if (known && upstream.startedAt < known.startedAt) {
      return;
    }
    upstreams.set(id, upstream);
    if (known?.state !== upstream.state || known.startedAt !== upstream.startedAt) {
      const { state, service, address, startedAt } = upstream;
      host.log('upstreamSeen', { upstream: id, state, service, address, startedAt });
    }
    host.onChange(upstream);
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
    upstreams.delete(id);
    host.log('upstreamGone', { upstream: id });
    host.onRemoved(id);
  }

  return {
    update,
    tryGet: (id: string) => upstreams.get(id),
    getAll: () => [...upstreams.values()],
    getReady: (service: string) =>
      [...upstreams.values()].filter(
        (upstream) => upstream.service === service && upstream.state === 'ready',
      ),
  };
}
