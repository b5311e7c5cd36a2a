const WINDOW_MS = 1000;

/**
 * Limits loads to the adapter store's rate in every window of one second, and to the number that
 * the store can serve concurrently. A rate below 1 allows one load every `1000 / rate`
 * milliseconds.
 */
export default function createLoadBudget(options: { perSecond: number; maxInFlight: number }) {
  let { perSecond } = options;
  let starts: number[] = [];
  let inFlight = 0;
  let blockedUntil = -Infinity;

  function getWindow(): { count: number; lengthMs: number } {
    return perSecond >= 1
      ? { count: Math.floor(perSecond), lengthMs: WINDOW_MS }
      : { count: 1, lengthMs: WINDOW_MS / Math.max(perSecond, 0.001) };
  }

  /** Returns how many loads may start now. */
  function getAvailableLoads(now: number): number {
    if (now < blockedUntil) {
      return 0;
    }
    const { count, lengthMs } = getWindow();
    starts = starts.filter((at) => at > now - lengthMs);
    return Math.max(0, Math.min(count - starts.length, options.maxInFlight - inFlight));
  }

  function recordStart(now: number): void {
    starts.push(now);
    inFlight += 1;
  }

  function recordEnd(): void {
    inFlight = Math.max(0, inFlight - 1);
  }

  return {
    getAvailableLoads,
    recordStart,
    recordEnd,
    setLoadsPerSecond: (loadsPerSecond: number) => {
      perSecond = loadsPerSecond;
    },
    /** Blocks loads after a change of owner, as the previous owner may just have started some. */
    blockUntil: (time: number) => {
      blockedUntil = time;
    },
    getLoadsPerSecond: () => perSecond,
    getInFlight: () => inFlight,
  };
}
