import type InFlightCounts from './InFlightCounts';
import type AdapterUsage from './AdapterUsage';
import type UsageSource from './UsageSource';

/** Longer than some lost reports, shorter than a stream: what a silent VM has told is then dropped. */
const VALID_MS = 3000;
/** Adapters used within this time are told to the engine's owner. */
const RECENT_MS = 2000;
const FORGET_MS = 60_000;
/** What has not changed is told again after this, well before it ceases to be valid. */
const TELL_AGAIN_MS = 1000;

interface Use {
  inFlight: number;
  lastUsedAt: number;
}

/**
 * Counts the requests in progress. Every VM knows the sum at each upstream; the uses of single
 * adapters are told to the engine's owner, who tells all which adapters are in use.
 */
export default function createUsage() {
  const own = new Map<string, { sum: number; changedAt: number; uses: Map<string, Use> }>();
  const sources = new Map<string, UsageSource & { at: number; loads: Map<string, number> }>();
  const shares = new Map<string, Map<string, { at: number; uses: Map<string, Use> }>>();
  const busy = new Map<string, { at: number; uses: Map<string, number> }>();
  const toldAt = new Map<string, number>();
  let toldLoads = new Map<string, number>();

  /** Counts a request in; the answer counts it out, once. */
  function beginRequest(now: number, upstream: string, adapter: string): (now: number) => void {
    const part = own.get(upstream) ?? { sum: 0, changedAt: now, uses: new Map<string, Use>() };
    own.set(upstream, part);
    const use = part.uses.get(adapter) ?? { inFlight: 0, lastUsedAt: now };
    part.uses.set(adapter, use);
    const count = (at: number, difference: number) => {
      use.inFlight += difference;
      use.lastUsedAt = at;
      part.sum += difference;
      part.changedAt = at;
    };
    count(now, 1);
    let isOpen = true;
    return (endedAt) => {
      if (isOpen) {
        isOpen = false;
        count(endedAt, -1);
      }
    };
  }

  /** This VM's requests in progress, to be told to others now. */
  function takeInFlightCounts(): InFlightCounts {
    const loads = getOwnLoads();
    toldLoads = new Map(loads);
    return loads;
  }

  function getOwnLoads(): InFlightCounts {
    return [...own]
      .filter(([, { sum }]) => sum > 0)
      .map(([upstream, { sum }]): [string, number] => [upstream, sum]);
  }

  /** The sum of this VM's requests and those that single other VMs have told. */
  function getMergedInFlightCounts(now: number): InFlightCounts {
    const sums = new Map(getOwnLoads());
    forEachSource(now, (source) => {
      if (source.kind === 'vm') {
        source.loads.forEach((count, upstream) =>
          sums.set(upstream, (sums.get(upstream) ?? 0) + count),
        );
      }
    });
    return [...sums];
  }

  /**
   * This VM's uses of adapters that are to be told now: those of upstreams where they have
   * changed, or where what was told would soon cease to be valid.
   */
  function takeAdapterUsages(now: number): { upstream: string; share: AdapterUsage }[] {
    return [...own].flatMap(([upstream, part]) => {
      const last = toldAt.get(upstream) ?? -Infinity;
      const isStale = part.sum > 0 && now - last >= TELL_AGAIN_MS;
      if (part.changedAt < last && !isStale) {
        return [];
      }
      toldAt.set(upstream, now);
      return [{ upstream, share: getShare(now, part.uses) }];
    });
  }

  function receiveInFlightCounts(now: number, source: UsageSource, loads: InFlightCounts): void {
    // The sum of this data centre replaces the figures of single VMs, and the other way round.
    sources.forEach((known, name) => {
      if (isReplaced(known, source)) {
        sources.delete(name);
      }
    });
    sources.set(source.name, { ...source, at: now, loads: new Map(loads) });
  }

  function receiveAdapterUsage(
    now: number,
    from: string,
    upstream: string,
    share: AdapterUsage,
  ): void {
    const known = shares.get(upstream) ?? new Map<string, { at: number; uses: Map<string, Use> }>();
    shares.set(upstream, known);
    const uses = new Map(
      share.map(([adapter, inFlight, idleMs]) => [adapter, { inFlight, lastUsedAt: now - idleMs }]),
    );
    known.get(from)?.uses.forEach((use, adapter) => {
      if (!uses.has(adapter) && now - use.lastUsedAt < FORGET_MS) {
        uses.set(adapter, { inFlight: 0, lastUsedAt: use.lastUsedAt });
      }
    });
    known.set(from, { at: now, uses });
  }

  /** Takes what an engine's owner tells: adapters in use and their requests. */
  function receiveBusyAdapters(now: number, engine: string, adapters: [string, number][]): void {
    busy.set(engine, { at: now, uses: new Map(adapters) });
  }

  function forEachSource(
    now: number,
    visit: (source: UsageSource & { loads: Map<string, number> }) => void,
  ): void {
    sources.forEach((source, name) => {
      if (now - source.at < VALID_MS) {
        visit(source);
      } else {
        sources.delete(name);
      }
    });
  }

  /** Requests in progress at an upstream from all VMs. */
  function getInFlight(now: number, upstream: string): number {
    let sum = own.get(upstream)?.sum ?? 0;
    forEachSource(now, ({ kind, loads }) => {
      const counted = kind === 'ownDataCentre' ? (toldLoads.get(upstream) ?? 0) : 0;
      sum += Math.max(0, (loads.get(upstream) ?? 0) - counted);
    });
    return sum;
  }

  /** Use of an adapter by all VMs; the last use by others is known to the engine's owner only. */
  function getUse(now: number, upstream: string, adapter: string): Use {
    const ownUse = own.get(upstream)?.uses.get(adapter);
    let inFlight = ownUse?.inFlight ?? 0;
    let lastUsedAt = ownUse?.lastUsedAt ?? -Infinity;
    shares.get(upstream)?.forEach(({ at, uses }) => {
      const use = uses.get(adapter);
      inFlight += now - at < VALID_MS ? (use?.inFlight ?? 0) : 0;
      lastUsedAt = Math.max(lastUsedAt, use?.lastUsedAt ?? -Infinity);
    });
    const told = busy.get(upstream);
    const toldCount = told && now - told.at < VALID_MS ? (told.uses.get(adapter) ?? 0) : 0;
    return { inFlight: Math.max(inFlight, toldCount), lastUsedAt };
  }

  /** The adapters of an upstream that are in use, and their requests, for all VMs. */
  function getBusyAdapters(now: number, upstream: string): [string, number][] {
    const sums = new Map<string, number>();
    const add = (use: Use, adapter: string) => {
      if (use.inFlight > 0) {
        sums.set(adapter, (sums.get(adapter) ?? 0) + use.inFlight);
      }
    };
    own.get(upstream)?.uses.forEach(add);
    shares.get(upstream)?.forEach(({ at, uses }) => {
      if (now - at < VALID_MS) {
        uses.forEach(add);
      }
    });
    return [...sums];
  }

  function remove(upstream: string): void {
    shares.delete(upstream);
    busy.delete(upstream);
    toldAt.delete(upstream);
  }

  return {
    beginRequest,
    takeInFlightCounts,
    getMergedInFlightCounts,
    takeAdapterUsages,
    receiveInFlightCounts,
    receiveAdapterUsage,
    receiveBusyAdapters,
    getInFlight,
    getUse,
    getBusyAdapters,
    remove,
  };
}

function isReplaced(known: UsageSource, by: UsageSource): boolean {
  return (
    (known.kind === 'vm' && by.kind === 'ownDataCentre') ||
    (known.kind === 'ownDataCentre' && by.kind === 'vm')
  );
}

/** Uses in progress or of late; forgets what was not used for long. */
function getShare(now: number, uses: Map<string, Use>): AdapterUsage {
  const share: AdapterUsage = [];
  uses.forEach((use, adapter) => {
    const idleMs = use.inFlight > 0 ? 0 : Math.round(now - use.lastUsedAt);
    if (idleMs > FORGET_MS) {
      uses.delete(adapter);
    } else if (idleMs < RECENT_MS) {
      share.push([adapter, use.inFlight, idleMs]);
    }
  });
  return share;
}
