import type Upstream from '../upstream/Upstream';
import type createPace from './createPace';

/** Registrations that a VM reads in this time after its start are of upstreams that ran before. */
const NEW_VM_MS = 3000;

interface PaceTriggersHost {
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
    if (startTimes.get(id) !== startedAt) {
      startTimes.set(id, startedAt);
      const cause = now - options.startedAt < NEW_VM_MS ? 'newVm' : 'started';
      pace.begin(now, upstream, cause, host.getInFlight(now, id));
    }
  }

  /** Checks whether an outage of the key-value service has ended; called at regular intervals. */
  function refresh(now: number): void {
    const isReachable = host.isServiceReachable();
    if (isReachable && !wasReachable) {
      host
        .getUpstreams()
        .forEach((upstream) =>
          pace.begin(now, upstream, 'outage', host.getInFlight(now, upstream.id)),
        );
    }
    wasReachable = isReachable;
  }

  return { observeRegistration, refresh, remove: (id: string) => startTimes.delete(id) };
}
