const FAST_MS = 60_000;
const SLOW_MS = 600_000;
const SIGNIFICANT_DEVIATIONS = 1;
/** A model that stays silent for this many of its expected gaps is thought less wanted. */
const SILENT_GAPS = 1.5;
const RECENT_REQUESTS = 60;
const LONG_REQUESTS = 600;
const SHIFT_DEVIATIONS = 2.5;
/** What past demand still counts after popularity has shifted. */
const KEPT_AFTER_SHIFT = 0.1;
const IDLE_FORGOTTEN_MS = 8 * SLOW_MS;

interface Estimate {
  fast: number;
  slow: number;
  /** When the counts were last decayed. */
  at: number;
  lastRequestAt: number;
  shifts: number;
}

/**
 * Expected requests a second of each model, from two exponentially decaying counts. The slow one
 * speaks unless the fast one exceeds it by more than chance explains or the model has been silent
 * for long. When requests find their model resident much less often than before, popularity has
 * shifted, and all past demand loses most of its weight at once.
 */
export default function createDemand() {
  const estimates = new Map<string, Estimate>();
  let startedAt: number | undefined;
  /** Decaying count of milliseconds, so that `slow / exposure` is a rate from the start on. */
  let exposure = 1;
  let exposedAt: number | undefined;
  let shifts = 0;
  let recentHits = 0;
  let longHits = 0;
  let requestsSinceShift = 0;

  /** Takes a request; `isHit` tells whether its model was resident or on its way. */
  function note(now: number, model: string, weight: number, isHit: boolean): void {
    startedAt ??= now;
    noteHit(now, isHit);
    let estimate = estimates.get(model);
    if (!estimate) {
      estimate = { fast: 0, slow: 0, at: now, lastRequestAt: now, shifts };
      estimates.set(model, estimate);
    }
    decay(now, estimate);
    estimate.lastRequestAt = now;
    estimate.fast += weight;
    estimate.slow += weight;
  }

  function noteHit(now: number, isHit: boolean): void {
    const hit = isHit ? 1 : 0;
    requestsSinceShift += 1;
    recentHits += (hit - recentHits) / Math.min(requestsSinceShift, RECENT_REQUESTS);
    longHits += (hit - longHits) / Math.min(requestsSinceShift, LONG_REQUESTS);
    const deviation = Math.sqrt((longHits * (1 - longHits)) / (2 * RECENT_REQUESTS));
    const isShift = recentHits < longHits - SHIFT_DEVIATIONS * deviation;
    if (isShift && requestsSinceShift > 3 * RECENT_REQUESTS) {
      expose(now);
      exposure *= KEPT_AFTER_SHIFT;
      shifts += 1;
      requestsSinceShift = 0;
    }
  }

  function expose(now: number): void {
    const passed = Math.max(0, now - (exposedAt ?? now));
    exposedAt = now;
    exposure = SLOW_MS + (exposure - SLOW_MS) * Math.exp(-passed / SLOW_MS);
  }

  function decay(now: number, estimate: Estimate): void {
    const passed = now - estimate.at;
    if (passed > 0) {
      estimate.fast *= Math.exp(-passed / FAST_MS);
      estimate.slow *= Math.exp(-passed / SLOW_MS);
      estimate.at = now;
    }
    if (estimate.shifts < shifts) {
      estimate.slow *= KEPT_AFTER_SHIFT ** (shifts - estimate.shifts);
      estimate.shifts = shifts;
    }
  }

  /** Expected weighted requests a second. */
  function getRate(now: number, model: string): number {
    const estimate = estimates.get(model);
    if (!estimate) {
      return 0;
    }
    decay(now, estimate);
    expose(now);
    const observed = now - (startedAt ?? now);
    const fastSpan = FAST_MS * (1 - Math.exp(-observed / FAST_MS)) + 1;
    const slow = estimate.slow / exposure;
    const expected = slow * fastSpan;
    const chance = SIGNIFICANT_DEVIATIONS * Math.sqrt(expected + 1);
    const rate = estimate.fast - expected > chance ? estimate.fast / fastSpan : slow;
    const silentMs = Math.max(1, now - estimate.lastRequestAt);
    return 1000 * Math.min(rate, SILENT_GAPS / silentMs);
  }

  /** Drops models whose demand has decayed to nothing, so that idle adapters cost no memory. */
  function forgetIdle(now: number): void {
    estimates.forEach((estimate, model) => {
      if (now - estimate.lastRequestAt > IDLE_FORGOTTEN_MS) {
        estimates.delete(model);
      }
    });
  }

  return { note, getRate, forgetIdle, getSize: () => estimates.size, getShifts: () => shifts };
}
