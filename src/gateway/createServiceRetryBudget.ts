/** Part of the shared budget that is used: the others' requests are only estimated. */
const USED_SHARE = 0.8;

interface Window {
  startedAt: number;
  requests: number;
  repeats: number;
}

/**
 * Bounds the requests sent once more to a service: a share of the requests plus this VM's part of
 * a reserve, in any window of time.
 */
export default function createServiceRetryBudget(
  getVmCount: (now: number) => number,
  getOptions: () => { ratio: number; windowMs: number; reserve: number },
) {
  const windows = new Map<string, Window[]>();

  /** Halves of a window; the newest three cover any window of the full length. */
  function getRecent(now: number, service: string): Window[] {
    const { windowMs } = getOptions();
    const halfMs = windowMs / 2;
    const all = (windows.get(service) ?? []).filter(
      (window) => now - window.startedAt < windowMs + halfMs,
    );
    const newest = all.at(-1);
    if (!newest || now - newest.startedAt >= halfMs) {
      all.push({ startedAt: now, requests: 0, repeats: 0 });
    }
    windows.set(service, all);
    return all;
  }

  function recordRequest(now: number, service: string): void {
    getRecent(now, service).at(-1)!.requests += 1;
  }

  function tryTake(now: number, service: string): boolean {
    const recent = getRecent(now, service);
    const requests = recent.reduce((sum, window) => sum + window.requests, 0);
    const repeats = recent.reduce((sum, window) => sum + window.repeats, 0);
    const options = getOptions();
    const reserve = options.reserve / Math.max(1, getVmCount(now));
    const allowed = (requests * options.ratio * (2 / 3) + reserve) * USED_SHARE;
    if (repeats + 1 > allowed) {
      return false;
    }
    recent.at(-1)!.repeats += 1;
    return true;
  }

  return { recordRequest, tryTake };
}
