import type Upstream from '../upstream/Upstream';
import type PaceCause from './PaceCause';
import type createPace from './createPace';

/** Time after its start in which a VM that learns of an upstream's load knows nothing of its pace. */
const NEW_VM_MS = 3000;

interface PaceTriggersHost {
  /** Returns whether the upstreams of a service state their load; others get no pace. */
  isStated(service: string): boolean;
  tryGetUpstream(id: string): Upstream | undefined;
  isServiceReachable(): boolean;
  getUpstreams(): readonly Upstream[];
  getInFlight(now: number, upstream: string): number;
}

/**
 * Begins the pace of upstreams when they start, when this VM is new, and for all after an outage of the
 * key-value service.
 */
export default function createPaceTriggers(
  host: PaceTriggersHost,
  pace: Pick<ReturnType<typeof createPace>, 'begin'>,
  options: { startedAt: number },
) {
  const startTimes = new Map<string, number>();
  let wasReachable = true;

  /** Records the registration of an upstream, which is repeated while it runs. */
  function observeRegistration(now: number, upstream: Upstream): void {
    const { id, startedAt } = upstream;
    const isNew = startTimes.get(id) !== startedAt;
    startTimes.set(id, startedAt);
    if (isNew && now - options.startedAt >= NEW_VM_MS) {
      begin(now, upstream, 'started');
    }
  }

  /** Records that an upstream stated its load, as far as this VM knows for the first time. */
  function observeFirstStatement(now: number, id: string): void {
    const upstream = host.tryGetUpstream(id);
    if (upstream && now - options.startedAt < NEW_VM_MS) {
      begin(now, upstream, 'newVm');
    }
  }

  function observeSuspension(now: number, upstream: Upstream): void {
    begin(now, upstream, 'suspended');
  }

  function begin(now: number, upstream: Upstream, cause: PaceCause): void {
    if (host.isStated(upstream.service)) {
      pace.begin(now, upstream, cause, host.getInFlight(now, upstream.id));
    }
  }

  /** Checks whether an outage of the key-value service has ended; called at regular intervals. */
  function refresh(now: number): void {
    const isReachable = host.isServiceReachable();
    if (isReachable && !wasReachable) {
      host.getUpstreams().forEach((upstream) => begin(now, upstream, 'outage'));
    }
    wasReachable = isReachable;
  }

  return {
    observeRegistration,
    observeFirstStatement,
    observeSuspension,
    refresh,
    remove: (id: string) => startTimes.delete(id),
  };
}
