import rankRelays from '../broadcast/rankRelays';
import type Members from '../members/Members';

/** An issuer is determined anew after this time; membership changes more slowly. */
const CACHE_MS = 100;
/** A VM may issue slots after all VMs have heard of it for about one heartbeat. */
const HEARD_MS = 500;
/** A VM that has just started leaves others time to hear of it, and itself to receive usage reports. */
const MIN_UPTIME_MS = 1500;

/** VMs that may stand in for each other. */
const MAX_RANKED = 4;
/** Interval at which a VM that has not replied is asked again. */
const PROBE_INTERVAL_MS = 400;

interface SlotIssuersHost {
  members: Pick<
    Members,
    'getMembers' | 'isAlive' | 'isListedLeaving' | 'isLeaving' | 'hasMajority'
  >;
}

/**
 * Determines the VM that issues the slots of a service: one with a fast link, since all requests of the
 * service pass its link. The next one in the same order stands in for one that does not reply. There is
 * none for about a second after a common start of all VMs, and a VM without a majority is none.
 */
export default function createSlotIssuers(
  host: SlotIssuersHost,
  options: { address: string; linkMbps?: number; startedAt: number },
) {
  const rankings = new Map<string, { at: number; vms: string[] }>();
  /** VMs that have not replied, each with the time at which it was asked last. */
  const silent = new Map<string, number>();

  function tryGetIssuer(now: number, service: string): string | undefined {
    return getRanking(now, service).find((vm) => !silent.has(vm));
  }

  function getRanking(now: number, service: string): string[] {
    const known = rankings.get(service);
    if (known && now - known.at < CACHE_MS) {
      return known.vms;
    }
    const vms = rankRelays(`slots ${service}`, getCandidates(now)).slice(0, MAX_RANKED);
    rankings.set(service, { at: now, vms });
    return vms;
  }

  /** Returns the VMs that have not replied and are to be asked again, each with a service. */
  function takeDueProbes(now: number): { vm: string; service: string }[] {
    return [...silent].flatMap(([vm, askedAt]) => {
      const [service] = [...rankings].find(([, { vms }]) => vms.includes(vm)) ?? [];
      if (service === undefined || !host.members.isAlive(now, vm)) {
        silent.delete(vm);
        return [];
      }
      if (now - askedAt < PROBE_INTERVAL_MS) {
        return [];
      }
      silent.set(vm, now);
      return [{ vm, service }];
    });
  }

  function getCandidates(now: number): { address: string; linkMbps: number }[] {
    const { members } = host;
    const others = members
      .getMembers()
      .filter(
        ({ address, state, heardSince }) =>
          state === 'live' &&
          now - heardSince >= HEARD_MS &&
          !members.isListedLeaving(address) &&
          members.isAlive(now, address),
      );
    const isCandidate =
      now - options.startedAt >= MIN_UPTIME_MS && !members.isLeaving() && members.hasMajority(now);
    const { address, linkMbps = 0 } = options;
    return isCandidate ? [...others, { address, linkMbps }] : others;
  }

  return {
    tryGetIssuer,
    /** Returns the VMs that come before `vm` in the order of issuers. */
    getPreferred: (now: number, service: string, vm: string) => {
      const vms = getRanking(now, service);
      return vms.slice(0, Math.max(0, vms.indexOf(vm)));
    },
    isSilent: (vm: string) => silent.has(vm),
    recordSilence: (now: number, vm: string) => silent.set(vm, now),
    recordReply: (vm: string) => silent.delete(vm),
    takeDueProbes,
  };
}
