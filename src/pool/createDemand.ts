const FAST_MS = 30_000;
const SLOW_MS = 600_000;
const SIGNIFICANT_DEVIATIONS = 2;

interface Estimate {
  fast: number;
  slow: number;
  at: number;
}

/**
 * Expected requests a second of each model, from two exponentially decaying counts. The slow one
 * speaks unless the fast one differs from it by more than chance explains.
 */
export default function createDemand() {
  const estimates = new Map<string, Estimate>();
  let startedAt: number | undefined;

  function decay(now: number, estimate: Estimate): void {
    const passed = Math.max(0, now - estimate.at);
    estimate.fast *= Math.exp(-passed / FAST_MS);
    estimate.slow *= Math.exp(-passed / SLOW_MS);
    estimate.at = now;
  }

  function note(now: number, model: string, weight: number): void {
    startedAt ??= now;
    let estimate = estimates.get(model);
    if (!estimate) {
      estimate = { fast: 0, slow: 0, at: now };
      estimates.set(model, estimate);
    }
    decay(now, estimate);
    estimate.fast += weight;
    estimate.slow += weight;
  }

  /** Expected weighted requests a second. */
  function getRate(now: number, model: string): number {
    const estimate = estimates.get(model);
    if (!estimate) {
      return 0;
    }
    decay(now, estimate);
    const observed = now - (startedAt ?? now);
    const fastSpan = FAST_MS * (1 - Math.exp(-observed / FAST_MS)) + 1;
    const slowSpan = SLOW_MS * (1 - Math.exp(-observed / SLOW_MS)) + 1;
    const expected = (estimate.slow / slowSpan) * fastSpan;
    const deviation = SIGNIFICANT_DEVIATIONS * Math.sqrt(expected + 1);
    const differs = Math.abs(estimate.fast - expected) > deviation;
    return 1000 * (differs ? estimate.fast / fastSpan : estimate.slow / slowSpan);
  }

  /** Drops models whose demand has decayed to nothing, so that idle adapters cost no memory. */
  function forgetIdle(now: number): void {
    estimates.forEach((estimate, model) => {
      if (now - estimate.at > SLOW_MS * 8) {
        estimates.delete(model);
      }
    });
  }

  return { note, getRate, forgetIdle, getSize: () => estimates.size };
}
