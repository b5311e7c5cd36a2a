import type InFlightCounts from './InFlightCounts';
import type AdapterUsage from './AdapterUsage';
import type UsageSource from './UsageSource';

/**
 * A report is dropped after this time without a newer one. Long enough that a few lost reports
 * don't matter, shorter than a stream.
 */
const REPORT_VALID_MS = 3000;
/** Adapters used within this time are reported to the engine's owner. */
const RECENT_USE_MS = 2000;
const USE_KEPT_MS = 60_000;
/** A use that was announced and that no report has shown within this time did not begin. */
const EXPECTED_USE_MS = 1000;
/** Unchanged usage is published again after this time, well before the last report expires. */
const REPUBLISH_MS = 1000;

interface AdapterUse {
  inFlight: number;
  lastUsedAt: number;
}

/**
 * Counts the in-flight requests. Every VM receives the counts of all VMs by upstream. Adapter
 * usage is sent to the engine's owner only, which publishes the busy adapters to all VMs.
 * `onIdle` is called when this VM's last request for an adapter at an upstream has ended.
 */
export default function createUsage(onIdle: (upstream: string) => void = () => {}) {
  const ownUsage = new Map<
    string,
    { sum: number; changedAt: number; uses: Map<string, AdapterUse> }
  >();
  const sources = new Map<string, UsageSource & { at: number; counts: Map<string, number> }>();
  const adapterUsages = new Map<
    string,
    Map<string, { at: number; uses: Map<string, AdapterUse> }>
  >();
  /** Uses that other VMs announced since their last report: by upstream, VM and adapter. */
  const expectedUses = new Map<string, Map<string, Map<string, number>>>();
  const busyAdapters = new Map<string, { at: number; uses: Map<string, number> }>();
  const publishedAt = new Map<string, number>();
  let publishedCounts = new Map<string, number>();

  /** Counts a request as in flight. Returns a function that ends it; further calls do nothing. */
  function beginRequest(now: number, upstream: string, adapter: string): (now: number) => void {
    const upstreamUsage = ownUsage.get(upstream) ?? {
      sum: 0,
      changedAt: now,
      uses: new Map<string, AdapterUse>(),
    };
    ownUsage.set(upstream, upstreamUsage);
    const use = upstreamUsage.uses.get(adapter) ?? { inFlight: 0, lastUsedAt: now };
    upstreamUsage.uses.set(adapter, use);
    const count = (at: number, difference: number) => {
      use.inFlight += difference;
      use.lastUsedAt = at;
      upstreamUsage.sum += difference;
      upstreamUsage.changedAt = at;
    };
    count(now, 1);
    let isOpen = true;
    return (endedAt) => {
      if (isOpen) {
        isOpen = false;
        count(endedAt, -1);
        if (adapter !== '' && use.inFlight === 0) {
          onIdle(upstream);
        }
      }
    };
  }

  /** Returns this VM's in-flight requests and records them as published. */
  function takeInFlightCounts(): InFlightCounts {
    const counts = getOwnInFlightCounts();
    publishedCounts = new Map(counts);
    return counts;
  }

  function getOwnInFlightCounts(): InFlightCounts {
    return [...ownUsage]
      .filter(([, { sum }]) => sum > 0)
      .map(([upstream, { sum }]): [string, number] => [upstream, sum]);
  }

  /** Returns the sums of this VM's requests and those that other single VMs have reported. */
  function getMergedInFlightCounts(now: number): InFlightCounts {
    const sums = new Map(getOwnInFlightCounts());
    forEachValidSource(now, (source) => {
      if (source.kind === 'vm') {
        source.counts.forEach((count, upstream) =>
          sums.set(upstream, (sums.get(upstream) ?? 0) + count),
        );
      }
    });
    return [...sums];
  }

  /**
   * Returns this VM's adapter usage at each upstream where it has changed since it was published or
   * where the last report would expire soon, and records it as published.
   */
  function takeAdapterUsages(now: number): { upstream: string; adapterUsage: AdapterUsage }[] {
    return [...ownUsage].flatMap(([upstream, upstreamUsage]) => {
      const lastPublishedAt = publishedAt.get(upstream) ?? -Infinity;
      const isStale = upstreamUsage.sum > 0 && now - lastPublishedAt >= REPUBLISH_MS;
      if (upstreamUsage.changedAt < lastPublishedAt && !isStale) {
        return [];
      }
      return [{ upstream, adapterUsage: takeAdapterUsage(now, upstream) }];
    });
  }

  /** Returns this VM's adapter usage at one upstream, and records it as published. */
  function takeAdapterUsage(now: number, upstream: string): AdapterUsage {
    publishedAt.set(upstream, now);
    return collectAdapterUsage(now, ownUsage.get(upstream)?.uses ?? new Map());
  }

  /** Records that another VM is about to use an adapter, before its next report. */
  function expectUse(now: number, from: string, upstream: string, adapter: string): void {
    const byVm = expectedUses.get(upstream) ?? new Map<string, Map<string, number>>();
    const uses = byVm.get(from) ?? new Map<string, number>();
    uses.set(adapter, now);
    byVm.set(from, uses);
    expectedUses.set(upstream, byVm);
  }

  function receiveInFlightCounts(now: number, source: UsageSource, counts: InFlightCounts): void {
    // The sum of this data centre replaces the counts of its single VMs, and vice versa.
    sources.forEach((known, name) => {
      if (isReplaced(known, source)) {
        sources.delete(name);
      }
    });
    sources.set(source.name, { ...source, at: now, counts: new Map(counts) });
  }

  function receiveAdapterUsage(
    now: number,
    from: string,
    upstream: string,
    adapterUsage: AdapterUsage,
  ): void {
    const known =
      adapterUsages.get(upstream) ??
      new Map<string, { at: number; uses: Map<string, AdapterUse> }>();
    adapterUsages.set(upstream, known);
    expectedUses.get(upstream)?.delete(from);
    const uses = new Map(
      adapterUsage.map(([adapter, inFlight, idleMs]) => [
        adapter,
        { inFlight, lastUsedAt: now - idleMs },
      ]),
    );
    known.get(from)?.uses.forEach((use, adapter) => {
      if (!uses.has(adapter) && now - use.lastUsedAt < USE_KEPT_MS) {
        uses.set(adapter, { inFlight: 0, lastUsedAt: use.lastUsedAt });
      }
    });
    known.set(from, { at: now, uses });
  }

  /** Records the busy adapters that an engine's owner publishes, with their requests. */
  function receiveBusyAdapters(now: number, engine: string, adapters: [string, number][]): void {
    busyAdapters.set(engine, { at: now, uses: new Map(adapters) });
  }

  /** Visits the sources whose last report is still valid, and removes the others. */
  function forEachValidSource(
    now: number,
    visit: (source: UsageSource & { counts: Map<string, number> }) => void,
  ): void {
    sources.forEach((source, name) => {
      if (now - source.at < REPORT_VALID_MS) {
        visit(source);
      } else {
        sources.delete(name);
      }
    });
  }

  /** Returns the in-flight requests at an upstream, from all VMs. */
  function getInFlight(now: number, upstream: string): number {
    let sum = ownUsage.get(upstream)?.sum ?? 0;
    forEachValidSource(now, ({ kind, counts }) => {
      // The sum of this data centre includes what this VM has published last.
      const ownCount = kind === 'ownDataCentre' ? (publishedCounts.get(upstream) ?? 0) : 0;
      sum += Math.max(0, (counts.get(upstream) ?? 0) - ownCount);
    });
    return sum;
  }

  /** Returns the requests that this VM has in flight at an upstream. */
  function getOwnInFlight(upstream: string): number {
    return ownUsage.get(upstream)?.sum ?? 0;
  }

  /**
   * Returns the use of an adapter by all VMs. Only the engine's owner receives the times of last
   * use from other VMs; on other VMs `lastUsedAt` is the last use by this VM.
   */
  function getUse(now: number, upstream: string, adapter: string): AdapterUse {
    const ownUse = ownUsage.get(upstream)?.uses.get(adapter);
    let inFlight = ownUse?.inFlight ?? 0;
    let lastUsedAt = ownUse?.lastUsedAt ?? -Infinity;
    adapterUsages.get(upstream)?.forEach(({ at, uses }) => {
      const use = uses.get(adapter);
      inFlight += now - at < REPORT_VALID_MS ? (use?.inFlight ?? 0) : 0;
      lastUsedAt = Math.max(lastUsedAt, use?.lastUsedAt ?? -Infinity);
    });
    expectedUses.get(upstream)?.forEach((uses) => {
      const expectedAt = uses.get(adapter) ?? -Infinity;
      inFlight += now - expectedAt < EXPECTED_USE_MS ? 1 : 0;
      lastUsedAt = Math.max(lastUsedAt, expectedAt);
    });
    const busyReport = busyAdapters.get(upstream);
    const busyCount =
      busyReport && now - busyReport.at < REPORT_VALID_MS ? (busyReport.uses.get(adapter) ?? 0) : 0;
    return { inFlight: Math.max(inFlight, busyCount), lastUsedAt };
  }

  /** Returns the adapters in use at an upstream, with their in-flight requests from all VMs. */
  function getBusyAdapters(now: number, upstream: string): [string, number][] {
    const sums = new Map<string, number>();
    const add = (use: AdapterUse, adapter: string) => {
      if (use.inFlight > 0) {
        sums.set(adapter, (sums.get(adapter) ?? 0) + use.inFlight);
      }
    };
    ownUsage.get(upstream)?.uses.forEach(add);
    adapterUsages.get(upstream)?.forEach(({ at, uses }) => {
      if (now - at < REPORT_VALID_MS) {
        uses.forEach(add);
      }
    });
    return [...sums];
  }

  function remove(upstream: string): void {
    adapterUsages.delete(upstream);
    expectedUses.delete(upstream);
    busyAdapters.delete(upstream);
    publishedAt.delete(upstream);
  }

  return {
    beginRequest,
    takeInFlightCounts,
    getMergedInFlightCounts,
    takeAdapterUsages,
    takeAdapterUsage,
    expectUse,
    receiveInFlightCounts,
    receiveAdapterUsage,
    receiveBusyAdapters,
    getInFlight,
    getOwnInFlight,
    getUse,
    getBusyAdapters,
    remove,
  };
}

function isReplaced(known: UsageSource, next: UsageSource): boolean {
  return (
    (known.kind === 'vm' && next.kind === 'ownDataCentre') ||
    (known.kind === 'ownDataCentre' && next.kind === 'vm')
  );
}

/** Returns the adapters that are or were recently in use, and removes those unused for long. */
function collectAdapterUsage(now: number, uses: Map<string, AdapterUse>): AdapterUsage {
  const adapterUsage: AdapterUsage = [];
  uses.forEach((use, adapter) => {
    const idleMs = use.inFlight > 0 ? 0 : Math.round(now - use.lastUsedAt);
    if (idleMs > USE_KEPT_MS) {
      uses.delete(adapter);
    } else if (idleMs < RECENT_USE_MS) {
      adapterUsage.push([adapter, use.inFlight, idleMs]);
    }
  });
  return adapterUsage;
}
