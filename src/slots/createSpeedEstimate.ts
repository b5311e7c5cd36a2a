/** Weight of the newest duration in the moving average; an average follows a change in 5 requests. */
const NEWEST_WEIGHT = 0.3;
/** One duration counts at most this multiple of the average, so that one slow request moves it little. */
const MAX_STEP_FACTOR = 3;
/** Used before the first response of any upstream. */
const DEFAULT_MS = 100;
/** A duration of this age says nothing about the present speed: slow phases last some 600 ms. */
const VALID_MS = 3000;

/** Estimates how long requests take at each upstream, from durations that VMs report. */
export default function createSpeedEstimate() {
  const averages = new Map<string, { at: number; ms: number }>();

  function record(now: number, upstream: string, ms: number): void {
    const known = averages.get(upstream)?.ms;
    const counted = known === undefined ? ms : Math.min(ms, known * MAX_STEP_FACTOR);
    averages.set(upstream, {
      at: now,
      ms: known === undefined ? ms : known + (counted - known) * NEWEST_WEIGHT,
    });
  }

  /** Returns the expected duration of a request; that of all upstreams if there is no recent one. */
  function getExpectedMs(now: number, upstream: string): number {
    const known = averages.get(upstream);
    if (known && now - known.at < VALID_MS) {
      return Math.max(1, known.ms);
    }
    const all = [...averages.values()];
    const mean = all.reduce((sum, { ms }) => sum + ms, 0) / all.length;
    return all.length > 0 ? Math.max(1, mean) : DEFAULT_MS;
  }

  return { record, getExpectedMs, remove: (upstream: string) => averages.delete(upstream) };
}
