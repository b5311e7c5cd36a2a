/** The median of this many samples ignores up to three slow requests, and follows four new ones. */
const KEPT_SAMPLES = 7;
/** Fewer samples say too little about an upstream. */
const MIN_SAMPLES = 3;
/**
 * Time constant at which the recent median gives way to the usual value: uneven upstreams are slow for
 * about 600 ms, and a change is to be known within one second.
 */
const RECENT_TIME_CONSTANT_MS = 1000;
/** Weight of a sample in the usual value. */
const USUAL_WEIGHT = 0.05;
/** A sample moves the usual value by at most this part of it (natural logarithm) times its weight. */
const MAX_DEVIATION = 1;

/**
 * Estimates how long work takes at one upstream, as a multiple of the usual, from samples of its
 * answers. The median of the newest samples counts while they are fresh; after that, the long-term
 * value. Designed for upstreams that are slow for some hundred milliseconds at a time, and for single
 * slow requests, which must not change the estimate. Constant time for each sample.
 */
export default function createDurationEstimate() {
  const logs: number[] = [];
  let next = 0;
  let sampleCount = 0;
  let usualLog = 0;
  let recentLog = 0;
  let sampledAt = -Infinity;

  /** Records the duration of one answer as a multiple of the usual; above 0. */
  function record(now: number, multiple: number): void {
    const log = Math.log(multiple);
    logs[next] = log;
    next = (next + 1) % KEPT_SAMPLES;
    sampleCount += 1;
    const weight = Math.max(USUAL_WEIGHT, 1 / sampleCount);
    const deviation = Math.max(-MAX_DEVIATION, Math.min(MAX_DEVIATION, log - usualLog));
    usualLog += weight * deviation;
    const sorted = [...logs].sort((left, right) => left - right);
    recentLog = sorted[Math.floor((sorted.length - 1) / 2)];
    sampledAt = now;
  }

  /** Returns the duration as a multiple of the usual; undefined if there are too few samples. */
  function get(now: number): number | undefined {
    if (sampleCount < MIN_SAMPLES) {
      return undefined;
    }
    const freshness = Math.exp((sampledAt - now) / RECENT_TIME_CONSTANT_MS);
    return Math.exp(usualLog + freshness * (recentLog - usualLog));
  }

  /** Returns the long-term value; undefined if there are too few samples. */
  function getUsual(): number | undefined {
    return sampleCount < MIN_SAMPLES ? undefined : Math.exp(usualLog);
  }

  return { record, get, getUsual };
}
