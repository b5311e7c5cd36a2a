const WINDOW_MS = 1000;

/**
 * Keeps loads within the weight store's rate in every window of a second, and within the number
 * that the store carries at once. A rate under 1 gives one load each `1000 / rate` milliseconds.
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

  /** How many loads may start now. */
  function getRoom(now: number): number {
    if (now < blockedUntil) {
      return 0;
    }
    const { count, lengthMs } = getWindow();
    starts = starts.filter((at) => at > now - lengthMs);
    return Math.max(0, Math.min(count - starts.length, options.maxInFlight - inFlight));
  }

  function start(now: number): void {
    starts.push(now);
    inFlight += 1;
  }

  function end(): void {
    inFlight = Math.max(0, inFlight - 1);
  }

  return {
    getRoom,
    start,
    end,
    setRate: (rate: number) => {
      perSecond = rate;
    },
    /** Holds loads back, after a change of owner whose predecessor may just have started some. */
    blockUntil: (time: number) => {
      blockedUntil = time;
    },
    getRate: () => perSecond,
    getInFlight: () => inFlight,
  };
}
