import type Clock from './Clock';
import runPeriodically from './runPeriodically';

const CHECK_INTERVAL_MS = 250;
const REPORTED_DELAY_MS = 300;

/**
 * Measures how late timers run, and reports delays of at least 300 ms: the process was suspended,
 * had no processor time, or ran one task for that long. Returns a function that ends the watch.
 */
export default function watchLoopDelay(
  clock: Clock,
  onDelay: (delayMs: number) => void,
): () => void {
  let lastRunAt = clock.now();
  return runPeriodically(clock, CHECK_INTERVAL_MS, () => {
    const now = clock.now();
    const delayMs = now - lastRunAt - CHECK_INTERVAL_MS;
    lastRunAt = now;
    if (delayMs >= REPORTED_DELAY_MS) {
      onDelay(Math.round(delayMs));
    }
  });
}
