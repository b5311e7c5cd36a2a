/** Weight of the newest outcome in the shares. */
const WEIGHT = 0.2;
const SUSPEND_FAILURES = 3;
const FIRST_SUSPENSION_MS = 500;
const MAX_SUSPENSION_MS = 4000;
const MIN_SLOWNESS = 0.7;
const MAX_SLOWNESS = 8;
/** What was learnt of an upstream fades with this time constant. */
const MEMORY_MS = 4000;

interface Health {
  failureShare: number;
  latencyMs: number | undefined;
  failuresInRow: number;
  suspendedUntil: number;
  suspensionMs: number;
  at: number;
}

/** Judges upstreams by the outcomes of requests sent to them; no probes are needed. */
export default function createUpstreamHealth() {
  const healths = new Map<string, Health>();

  function get(now: number, upstream: string): Health {
    const known = healths.get(upstream);
    if (known) {
      const fade = Math.exp((known.at - now) / MEMORY_MS);
      known.failureShare *= fade;
      known.at = now;
      return known;
    }
    const health: Health = {
      failureShare: 0,
      latencyMs: undefined,
      failuresInRow: 0,
      suspendedUntil: -Infinity,
      suspensionMs: FIRST_SUSPENSION_MS,
      at: now,
    };
    healths.set(upstream, health);
    return health;
  }

  function recordSuccess(now: number, upstream: string, latencyMs: number): void {
    const health = get(now, upstream);
    health.failureShare *= 1 - WEIGHT;
    health.failuresInRow = 0;
    health.suspensionMs = FIRST_SUSPENSION_MS;
    health.latencyMs =
      health.latencyMs === undefined
        ? latencyMs
        : health.latencyMs * (1 - WEIGHT) + latencyMs * WEIGHT;
  }

  /** Notes a failure; answers whether the upstream is now left alone for a while. */
  function recordFailure(now: number, upstream: string): boolean {
    const health = get(now, upstream);
    health.failureShare = health.failureShare * (1 - WEIGHT) + WEIGHT;
    health.failuresInRow += 1;
    if (health.failuresInRow < SUSPEND_FAILURES || now < health.suspendedUntil) {
      return false;
    }
    health.suspendedUntil = now + health.suspensionMs;
    health.suspensionMs = Math.min(MAX_SUSPENSION_MS, health.suspensionMs * 2);
    // After the pause a single failure suspends it again.
    health.failuresInRow = SUSPEND_FAILURES - 1;
    return true;
  }

  /** Answer time of an upstream against the mean of some peers, within bounds. */
  function getSlowness(upstream: string, peers: readonly string[]): number {
    const latencies = peers
      .map((peer) => healths.get(peer)?.latencyMs)
      .filter((latency) => latency !== undefined);
    const own = healths.get(upstream)?.latencyMs;
    if (own === undefined || latencies.length < 2) {
      return 1;
    }
    const sorted = [...latencies].sort((left, right) => left - right);
    const median = sorted[Math.floor((sorted.length - 1) / 2)];
    return Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, own / Math.max(1, median)));
  }

  return {
    recordSuccess,
    recordFailure,
    getFailureShare: (now: number, upstream: string) => get(now, upstream).failureShare,
    getSlowness,
    isSuspended: (now: number, upstream: string) => now < get(now, upstream).suspendedUntil,
    remove: (upstream: string) => healths.delete(upstream),
  };
}
