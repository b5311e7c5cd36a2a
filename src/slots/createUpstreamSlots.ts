import type Upstream from '../upstream/Upstream';
import type SlotOutcome from './SlotOutcome';
import type SlotRequest from './SlotRequest';

/** After a rejection, no slot of the upstream is given out until others have freed one. */
const REJECTED_PAUSE_MS = 40;
/**
 * Time after which a reduced number of slots grows by one: requests that others have sent there end
 * after about this time. It doubles if the upstream rejects another request soon.
 */
const FIRST_RECOVERY_MS = 60;
const MAX_RECOVERY_MS = 2000;
/** A rejection is a repeated one within this multiple of the time after which the slots grow. */
const REPEATED_FACTOR = 4;
/**
 * A new issuer counts in-flight requests of the usage reports for this long, which VMs send every
 * 250 ms: until then it does not know what a former issuer has granted.
 */
const TAKEOVER_MS = 600;
/** A statement of a VM about its other requests in progress ends after this time. */
const STATED_VALID_MS = 1500;
/** A grant that its VM does not count after this time was lost; messages take a few milliseconds. */
const SETTLED_MS = 500;

interface UpstreamSlots {
  startedAt: number;
  held: Map<string, { vm: string; grantedAt: number; until: number }>;
  /** Times until which requests count that were given up and that the upstream may still run. */
  lingering: number[];
  limit: number;
  changedAt: number;
  recoveryMs: number;
  rejectedAt: number;
  closedUntil: number;
}

interface UpstreamSlotsHost {
  getExpectedMs(now: number, upstream: string): number;
  getInFlight(now: number, upstream: string): number;
}

/**
 * Counts the slots in use at each upstream: those granted, those of requests that were given up, and
 * what VMs state that they have in progress without a grant. Each grant ends with its lease.
 */
export default function createUpstreamSlots(host: UpstreamSlotsHost, startedAt: number) {
  const all = new Map<string, UpstreamSlots>();
  const stated = new Map<string, { at: number; counts: ReadonlyMap<string, number> }>();
  let takeoverUntil = startedAt + TAKEOVER_MS;

  /** Keeps the slots of `upstreams` only, and ends leases that are over. */
  function retain(now: number, upstreams: readonly Upstream[]): void {
    upstreams.forEach((upstream) => {
      if (all.get(upstream.id)?.startedAt !== upstream.startedAt) {
        all.set(upstream.id, {
          startedAt: upstream.startedAt,
          held: new Map(),
          lingering: [],
          limit: upstream.slots,
          changedAt: now,
          recoveryMs: FIRST_RECOVERY_MS,
          rejectedAt: -Infinity,
          closedUntil: -Infinity,
        });
      }
    });
    const ids = new Set(upstreams.map(({ id }) => id));
    all.forEach((slots, id) => {
      slots.held.forEach(({ until }, holder) => {
        if (until <= now) {
          slots.held.delete(holder);
        }
      });
      slots.lingering = slots.lingering.filter((until) => until > now);
      if (!ids.has(id) && slots.held.size === 0) {
        all.delete(id);
      }
    });
  }

  function hold(now: number, upstream: string, { vm, id, deadlineAt }: SlotRequest): void {
    all.get(upstream)!.held.set(getHolder(vm, id), { vm, grantedAt: now, until: deadlineAt });
  }

  /** Ends a grant; returns its upstream, or undefined if there is no such grant. */
  function release(now: number, vm: string, id: number, outcome: SlotOutcome): string | undefined {
    const holder = getHolder(vm, id);
    const [upstream, slots] = [...all].find(([, { held }]) => held.has(holder)) ?? [];
    if (upstream === undefined || !slots) {
      return undefined;
    }
    const { grantedAt } = slots.held.get(holder)!;
    slots.held.delete(holder);
    if (outcome === 'aborted') {
      slots.lingering.push(now + host.getExpectedMs(now, upstream));
    }
    if (outcome === 'full') {
      reduce(now, slots, grantedAt);
    }
    return upstream;
  }

  /** Reduces the slots of an upstream to those in use after it has rejected a request. */
  function reduce(now: number, slots: UpstreamSlots, grantedAt: number): void {
    slots.limit = Math.max(1, Math.min(slots.limit, slots.held.size));
    slots.changedAt = now;
    slots.closedUntil = now + REJECTED_PAUSE_MS;
    // Requests that were sent before the last rejection was known say nothing new.
    if (grantedAt >= slots.rejectedAt) {
      const isRepeated = now - slots.rejectedAt < slots.recoveryMs * REPEATED_FACTOR;
      slots.recoveryMs = isRepeated
        ? Math.min(MAX_RECOVERY_MS, slots.recoveryMs * 2)
        : FIRST_RECOVERY_MS;
      slots.rejectedAt = now;
    }
  }

  /** Returns how many requests an upstream may have in progress now. */
  function getLimit(now: number, upstream: Upstream): number {
    const capacity = getCapacity(now, upstream);
    const slots = all.get(upstream.id);
    return slots && now < slots.closedUntil ? Math.min(capacity, slots.held.size) : capacity;
  }

  /** Returns how many requests an upstream serves at a time: fewer after it has rejected one. */
  function getCapacity(now: number, { id, slots: count }: Upstream): number {
    const slots = all.get(id);
    if (!slots) {
      return count;
    }
    while (slots.limit < count && now - slots.changedAt >= slots.recoveryMs) {
      slots.limit += 1;
      slots.changedAt += slots.recoveryMs;
    }
    slots.limit = Math.min(slots.limit, count);
    return slots.limit;
  }

  function getBusy(now: number, upstream: string): number {
    const slots = all.get(upstream);
    let busy = (slots?.held.size ?? 0) + (slots?.lingering.length ?? 0);
    stated.forEach(({ at, counts }, vm) => {
      if (now - at < STATED_VALID_MS) {
        busy += counts.get(upstream) ?? 0;
      } else {
        stated.delete(vm);
      }
    });
    return now < takeoverUntil ? Math.max(busy, host.getInFlight(now, upstream)) : busy;
  }

  /**
   * Corrects the account by what a VM states: the number of its grants, so that those which did not
   * reach it are ended, and its requests in progress that this issuer has not granted.
   */
  function reconcile(
    now: number,
    vm: string,
    granted: number | undefined,
    others: readonly (readonly [string, number])[],
  ): void {
    if (others.length > 0) {
      stated.set(vm, { at: now, counts: new Map(others) });
    } else {
      stated.delete(vm);
    }
    if (granted === undefined) {
      return;
    }
    const grants = [...all.values()]
      .flatMap(({ held }) => [...held].map(([holder, grant]) => ({ held, holder, ...grant })))
      .filter((grant) => grant.vm === vm)
      .sort((left, right) => left.grantedAt - right.grantedAt);
    grants
      .slice(0, Math.max(0, grants.length - granted))
      .filter(({ grantedAt }) => now - grantedAt > SETTLED_MS)
      .forEach(({ held, holder }) => held.delete(holder));
  }

  /** Ends all grants of a VM that is gone. */
  function releaseAll(vm: string): void {
    stated.delete(vm);
    all.forEach(({ held }) =>
      held.forEach((grant, holder) => {
        if (grant.vm === vm) {
          held.delete(holder);
        }
      }),
    );
  }

  return {
    retain,
    hold,
    release,
    getLimit,
    getCapacity,
    getBusy,
    reconcile,
    releaseAll,
    /** Counts what VMs report for some time, after this issuer did not run. */
    beginTakeover: (now: number) => {
      takeoverUntil = now + TAKEOVER_MS;
    },
    getHolders: () =>
      new Set([...all.values()].flatMap(({ held }) => [...held.values()].map(({ vm }) => vm))),
  };
}

function getHolder(vm: string, id: number): string {
  return `${vm} ${id}`;
}
