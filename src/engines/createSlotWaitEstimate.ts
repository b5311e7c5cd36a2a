/** Shorter waits are those for the commands of other loads. */
const MIN_SAMPLE_MS = 10;
/** Weight of a new sample in the estimate. */
const SAMPLE_WEIGHT = 0.2;
/** While loads are refused for their expected wait there are no samples; the last ones lose weight. */
const SAMPLES_VALID_MS = 2000;
/** Time for which a request is assumed to use its adapter, before the first sample. */
const INITIAL_USE_MS = 1200;

/**
 * Estimates how long loads wait for an adapter slot while all slots are in use: the mean time between
 * two slots that become free.
 */
export default function createSlotWaitEstimate() {
  let intervalMs: number | undefined;
  let sampledAt = -Infinity;

  /** Records how long a load waited; `position` is the number of loads that waited before it. */
  function record(now: number, waitedMs: number, position: number): void {
    if (waitedMs < MIN_SAMPLE_MS) {
      return;
    }
    sampledAt = now;
    const sampleMs = waitedMs / (position + 1);
    intervalMs =
      intervalMs === undefined ? sampleMs : intervalMs + SAMPLE_WEIGHT * (sampleMs - intervalMs);
  }

  /** Returns the time in milliseconds between two slots that become free. */
  function getIntervalMs(now: number, adapterSlots: number): number {
    const assumedMs = INITIAL_USE_MS / Math.max(1, adapterSlots);
    const weight = Math.exp((sampledAt - now) / SAMPLES_VALID_MS);
    return assumedMs + weight * ((intervalMs ?? assumedMs) - assumedMs);
  }

  return { record, getIntervalMs };
}
