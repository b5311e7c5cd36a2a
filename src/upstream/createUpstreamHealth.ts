/** Weight of the newest outcome in the moving averages. */
const NEWEST_WEIGHT = 0.2;
const FAILURES_TO_SUSPEND = 3;
const FIRST_SUSPENSION_MS = 500;
const MAX_SUSPENSION_MS = 4000;
const MIN_RELATIVE_LATENCY = 0.7;
const MAX_RELATIVE_LATENCY = 8;
/** Time constant of the exponential decay of the failure rate. */
const DECAY_TIME_CONSTANT_MS = 4000;
/** Failure rate of an upstream that turns requests of other VMs away. */
const REFUSAL_FAILURE_RATE = 0.5;

interface Health {
  failureRate: number;
  latencyMs: number | undefined;
  failuresInRow: number;
  suspendedUntil: number;
  suspensionMs: number;
  updatedAt: number;
}

/** Tracks the health of upstreams from the outcomes of regular requests, without probes. */
export default function createUpstreamHealth() {
  const healths = new Map<string, Health>();

  /** Decays the failure rate of an upstream to `now` and returns its health, created if missing. */
  function decayHealth(now: number, upstream: string): Health {
    const known = healths.get(upstream);
    if (known) {
      const decay = Math.exp((known.updatedAt - now) / DECAY_TIME_CONSTANT_MS);
      known.failureRate *= decay;
      known.updatedAt = now;
      return known;
    }
    const health: Health = {
      failureRate: 0,
      latencyMs: undefined,
      failuresInRow: 0,
      suspendedUntil: -Infinity,
      suspensionMs: FIRST_SUSPENSION_MS,
      updatedAt: now,
    };
    healths.set(upstream, health);
    return health;
  }

  function recordSuccess(now: number, upstream: string, latencyMs: number): void {
    const health = decayHealth(now, upstream);
    health.failureRate *= 1 - NEWEST_WEIGHT;
    health.failuresInRow = 0;
    health.suspensionMs = FIRST_SUSPENSION_MS;
    health.latencyMs =
      health.latencyMs === undefined
        ? latencyMs
        : health.latencyMs * (1 - NEWEST_WEIGHT) + latencyMs * NEWEST_WEIGHT;
  }

  /** Records a failure; returns whether it suspends the upstream. */
  function recordFailure(now: number, upstream: string): boolean {
    const health = decayHealth(now, upstream);
    health.failureRate = health.failureRate * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
    health.failuresInRow += 1;
    if (health.failuresInRow < FAILURES_TO_SUSPEND || now < health.suspendedUntil) {
      return false;
    }
    health.suspendedUntil = now + health.suspensionMs;
    health.suspensionMs = Math.min(MAX_SUSPENSION_MS, health.suspensionMs * 2);
    // After the suspension a single failure suspends the upstream again.
    health.failuresInRow = FAILURES_TO_SUSPEND - 1;
    return true;
  }

  /** Records that an upstream turns requests of other VMs away, so that others are preferred. */
  function recordRefusalElsewhere(now: number, upstream: string): void {
    const health = decayHealth(now, upstream);
    health.failureRate = Math.max(health.failureRate, REFUSAL_FAILURE_RATE);
  }

  /**
   * Returns a function that returns the latency of an upstream divided by the median of `peers`, within
   * bounds. The median is computed once for all candidates of a choice.
   */
  function compareLatencies(peers: readonly string[]): (upstream: string) => number {
    const latencies = new Float64Array(peers.length);
    let count = 0;
    peers.forEach((peer) => {
      const latencyMs = healths.get(peer)?.latencyMs;
      if (latencyMs !== undefined) {
        latencies[count] = latencyMs;
        count += 1;
      }
    });
    if (count < 2) {
      return () => 1;
    }
    const sorted = latencies.subarray(0, count).sort();
    const median = sorted[Math.floor((count - 1) / 2)];
    return (upstream) => {
      const own = healths.get(upstream)?.latencyMs;
      return own === undefined
        ? 1
        : Math.min(MAX_RELATIVE_LATENCY, Math.max(MIN_RELATIVE_LATENCY, own / Math.max(1, median)));
    };
  }

  return {
    recordSuccess,
    recordFailure,
    recordRefusalElsewhere,
    getFailureRate: (now: number, upstream: string) => decayHealth(now, upstream).failureRate,
    compareLatencies,
    isSuspended: (now: number, upstream: string) => now < decayHealth(now, upstream).suspendedUntil,
    remove: (upstream: string) => healths.delete(upstream),
  };
}
