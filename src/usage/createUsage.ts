import type Share from './Share';

/** Longer than some lost reports, shorter than a stream: a silent VM's share is then dropped. */
const SHARE_VALID_MS = 3000;
/** Adapters used within this time are told to the others. */
const RECENT_MS = 2000;
const FORGET_MS = 60_000;

interface Use {
  inFlight: number;
  lastUsedAt: number;
}

/** Counts the requests in progress by upstream and adapter, those of the other VMs included. */
export default function createUsage() {
  const own = new Map<string, Map<string, Use>>();
  const others = new Map<string, { at: number; uses: Map<string, Map<string, Use>> }>();

  /** Counts a request in; the answer counts it out, once. */
  function begin(now: number, upstream: string, adapter: string): (now: number) => void {
    const adapters = own.get(upstream) ?? new Map<string, Use>();
    own.set(upstream, adapters);
    const use = adapters.get(adapter) ?? { inFlight: 0, lastUsedAt: now };
    adapters.set(adapter, use);
    use.inFlight += 1;
    use.lastUsedAt = now;
    let isOpen = true;
    return (endedAt) => {
      if (isOpen) {
        isOpen = false;
        use.inFlight -= 1;
        use.lastUsedAt = endedAt;
      }
    };
  }

  /** This VM's part, for the others; forgets what was not used for long. */
  function getShare(now: number): Share {
    const share: Share = [];
    own.forEach((adapters, upstream) => {
      const uses: Share[number]['uses'] = [];
      adapters.forEach((use, adapter) => {
        const idleMs = use.inFlight > 0 ? 0 : Math.round(now - use.lastUsedAt);
        if (idleMs > FORGET_MS) {
          adapters.delete(adapter);
        } else if (idleMs < RECENT_MS) {
          uses.push([adapter, use.inFlight, idleMs]);
        }
      });
      if (uses.length > 0) {
        share.push({ upstream, uses });
      }
    });
    return share;
  }

  function receive(now: number, from: string, share: Share): void {
    const uses = new Map(
      share.map((part) => [
        part.upstream,
        new Map(
          part.uses.map(([adapter, inFlight, idleMs]) => [
            adapter,
            { inFlight, lastUsedAt: now - idleMs },
          ]),
        ),
      ]),
    );
    const before = others.get(from)?.uses;
    before?.forEach((adapters, upstream) => keepLastUse(uses, upstream, adapters));
    others.set(from, { at: now, uses });
  }

  function forEachValid(now: number, visit: (uses: Map<string, Map<string, Use>>) => void): void {
    visit(own);
    others.forEach((other, from) => {
      if (now - other.at < SHARE_VALID_MS) {
        visit(other.uses);
      } else {
        others.delete(from);
      }
    });
  }

  /** Requests in progress at an upstream from all VMs. */
  function getInFlight(now: number, upstream: string): number {
    let sum = 0;
    forEachValid(now, (uses) => {
      uses.get(upstream)?.forEach((use) => {
        sum += use.inFlight;
      });
    });
    return sum;
  }

  function getUse(now: number, upstream: string, adapter: string): Use {
    let inFlight = 0;
    let lastUsedAt = -Infinity;
    forEachValid(now, (uses) => {
      const use = uses.get(upstream)?.get(adapter);
      inFlight += use?.inFlight ?? 0;
      lastUsedAt = Math.max(lastUsedAt, use?.lastUsedAt ?? -Infinity);
    });
    return { inFlight, lastUsedAt };
  }

  return { begin, getShare, receive, getInFlight, getUse };
}

/** Keeps when an adapter was last used by a VM that no longer names it. */
function keepLastUse(
  uses: Map<string, Map<string, Use>>,
  upstream: string,
  before: Map<string, Use>,
): void {
  const adapters = uses.get(upstream) ?? new Map<string, Use>();
  uses.set(upstream, adapters);
  before.forEach((use, adapter) => {
    if (!adapters.has(adapter)) {
      adapters.set(adapter, { inFlight: 0, lastUsedAt: use.lastUsedAt });
    }
  });
}
