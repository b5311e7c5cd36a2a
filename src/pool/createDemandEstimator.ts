const FAST_TIME_CONSTANT_MS = 60_000;
const SLOW_TIME_CONSTANT_MS = 600_000;
const SIGNIFICANT_DEVIATIONS = 1;
/** Longest idle time, in expected intervals between requests, before the estimated rate falls. */
const MAX_IDLE_GAPS = 1.5;
const RECENT_WINDOW_REQUESTS = 60;
const LONG_WINDOW_REQUESTS = 600;
const SHIFT_DEVIATIONS = 2.5;
/** Factor applied to past demand once a popularity shift is detected. */
const SHIFT_DECAY_FACTOR = 0.1;
const MAX_IDLE_MS = 8 * SLOW_TIME_CONSTANT_MS;

interface Estimate {
  fast: number;
  slow: number;
  /** Time of the last decay of the counts. */
  updatedAt: number;
  lastRequestAt: number;
  shifts: number;
}

/**
 * Estimates the requests per second of each model from two exponentially decaying counts. The slow
 * count gives the estimate, unless the fast one exceeds it by a statistically significant margin or
 * the model has had no requests for long. When the hit rate, the share of requests that find their
 * model resident, drops significantly, popularity has shifted, and the weight of all past demand is
 * reduced at once.
 */
export default function createDemandEstimator() {
  const estimates = new Map<string, Estimate>();
  let startedAt: number | undefined;
  /** Milliseconds observed, decayed like `slow`: `slow / slowSpanMs` is a rate from the start. */
  let slowSpanMs = 1;
  let slowSpanUpdatedAt: number | undefined;
  let shifts = 0;
  let recentHitRate = 0;
  let longHitRate = 0;
  let requestsSinceShift = 0;

  /** Counts a request. `isHit` is true if an engine held its model or was to load it. */
  function recordRequest(now: number, model: string, weight: number, isHit: boolean): void {
    startedAt ??= now;
    recordHit(now, isHit);
    let estimate = estimates.get(model);
    if (!estimate) {
      estimate = { fast: 0, slow: 0, updatedAt: now, lastRequestAt: now, shifts };
      estimates.set(model, estimate);
    }
    decay(now, estimate);
    estimate.lastRequestAt = now;
    estimate.fast += weight;
    estimate.slow += weight;
  }

  /** Updates the hit rates and detects a popularity shift. */
  function recordHit(now: number, isHit: boolean): void {
    const hit = isHit ? 1 : 0;
    requestsSinceShift += 1;
    recentHitRate += (hit - recentHitRate) / Math.min(requestsSinceShift, RECENT_WINDOW_REQUESTS);
    longHitRate += (hit - longHitRate) / Math.min(requestsSinceShift, LONG_WINDOW_REQUESTS);
    const deviation = Math.sqrt((longHitRate * (1 - longHitRate)) / (2 * RECENT_WINDOW_REQUESTS));
    const isShift = recentHitRate < longHitRate - SHIFT_DEVIATIONS * deviation;
    if (isShift && requestsSinceShift > 3 * RECENT_WINDOW_REQUESTS) {
      updateSlowSpan(now);
      slowSpanMs *= SHIFT_DECAY_FACTOR;
      shifts += 1;
      requestsSinceShift = 0;
    }
  }

  function updateSlowSpan(now: number): void {
    const elapsedMs = Math.max(0, now - (slowSpanUpdatedAt ?? now));
    slowSpanUpdatedAt = now;
    slowSpanMs =
      SLOW_TIME_CONSTANT_MS +
      (slowSpanMs - SLOW_TIME_CONSTANT_MS) * Math.exp(-elapsedMs / SLOW_TIME_CONSTANT_MS);
  }

  function decay(now: number, estimate: Estimate): void {
    const elapsedMs = now - estimate.updatedAt;
    if (elapsedMs > 0) {
      estimate.fast *= Math.exp(-elapsedMs / FAST_TIME_CONSTANT_MS);
      estimate.slow *= Math.exp(-elapsedMs / SLOW_TIME_CONSTANT_MS);
      estimate.updatedAt = now;
    }
    if (estimate.shifts < shifts) {
      estimate.slow *= SHIFT_DECAY_FACTOR ** (shifts - estimate.shifts);
      estimate.shifts = shifts;
    }
  }

  /** Returns the expected requests per second, weighted by the adapter's weight. */
  function getRequestRate(now: number, model: string): number {
    const estimate = estimates.get(model);
    if (!estimate) {
      return 0;
    }
    decay(now, estimate);
    updateSlowSpan(now);
    const observedMs = now - (startedAt ?? now);
    const fastSpanMs =
      FAST_TIME_CONSTANT_MS * (1 - Math.exp(-observedMs / FAST_TIME_CONSTANT_MS)) + 1;
    const slow = estimate.slow / slowSpanMs;
    const expected = slow * fastSpanMs;
    const noiseMargin = SIGNIFICANT_DEVIATIONS * Math.sqrt(expected + 1);
    const rate = estimate.fast - expected > noiseMargin ? estimate.fast / fastSpanMs : slow;
    const idleMs = Math.max(1, now - estimate.lastRequestAt);
    return 1000 * Math.min(rate, MAX_IDLE_GAPS / idleMs);
  }

  /** Removes models whose demand has decayed to almost nothing, so idle adapters use no memory. */
  function removeIdle(now: number): void {
    estimates.forEach((estimate, model) => {
      if (now - estimate.lastRequestAt > MAX_IDLE_MS) {
        estimates.delete(model);
      }
    });
  }

  return {
    recordRequest,
    getRequestRate,
    removeIdle,
    getSize: () => estimates.size,
    getShifts: () => shifts,
  };
}
