/** Intervals in a sample: few enough that a stream gives one in a fraction of a second. */
const INTERVALS_PER_SAMPLE = 8;

/** Calls `record` with the mean interval between events, once for some events of a stream. */
export default function createIntervalMeter(record: (now: number, intervalMs: number) => void) {
  let count = 0;
  let sampledAt = 0;

  return (now: number): void => {
    if (count % INTERVALS_PER_SAMPLE === 0) {
      if (count > 0) {
        record(now, (now - sampledAt) / INTERVALS_PER_SAMPLE);
      }
      sampledAt = now;
    }
    count += 1;
  };
}
