/** Usable part of the shared budget; below 1 because the load of other VMs is only estimated. */
const USABLE_SHARE = 0.8;

interface HalfWindow {
  startedAt: number;
  requests: number;
  retries: number;
}

/**
 * Limits the retries sent to a service in any window of time: at most a ratio of the requests plus
 * this VM's part of a reserve that all VMs share.
 */
export default function createServiceRetryBudget(
  getVmCount: (now: number) => number,
  getOptions: () => { ratio: number; windowMs: number; reserve: number },
) {
  const halfWindows = new Map<string, HalfWindow[]>();

  /**
   * Removes expired half windows, starts a new one if due, and returns the remaining ones. The
   * newest three cover any window of the full length.
   */
  function updateHalfWindows(now: number, service: string): HalfWindow[] {
    const { windowMs } = getOptions();
    const halfMs = windowMs / 2;
    const recent = (halfWindows.get(service) ?? []).filter(
      (halfWindow) => now - halfWindow.startedAt < windowMs + halfMs,
    );
    const newest = recent.at(-1);
    if (!newest || now - newest.startedAt >= halfMs) {
      recent.push({ startedAt: now, requests: 0, retries: 0 });
    }
    halfWindows.set(service, recent);
    return recent;
  }

  function recordRequest(now: number, service: string): void {
    updateHalfWindows(now, service).at(-1)!.requests += 1;
  }

  function isAllowed(now: number, service: string): boolean {
    const recent = updateHalfWindows(now, service);
    const requests = recent.reduce((sum, halfWindow) => sum + halfWindow.requests, 0);
    const retries = recent.reduce((sum, halfWindow) => sum + halfWindow.retries, 0);
    const options = getOptions();
    const reserve = options.reserve / Math.max(1, getVmCount(now));
    const allowed = (requests * options.ratio * (2 / 3) + reserve) * USABLE_SHARE;
    return retries + 1 <= allowed;
  }

  function tryTake(now: number, service: string): boolean {
    if (!isAllowed(now, service)) {
      return false;
    }
    updateHalfWindows(now, service).at(-1)!.retries += 1;
    return true;
  }

  return { recordRequest, isAllowed, tryTake };
}
