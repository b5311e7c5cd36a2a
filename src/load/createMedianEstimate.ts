/** Weight of a sample once the estimate has settled. */
const SETTLED_WEIGHT = 0.02;
/** A sample moves the estimate by at most this (natural logarithm) times its weight. */
const MAX_STEP = 0.7;

/**
 * Estimates the median of positive values in constant time and memory, on a logarithmic scale; a
 * single extreme value moves it by little.
 */
export default function createMedianEstimate() {
  let count = 0;
  let log = 0;

  /** Records a value and returns the estimate before it, or the value itself if it is the first. */
  function record(value: number): number {
    const valueLog = Math.log(value);
    if (count === 0) {
      log = valueLog;
    }
    const previous = Math.exp(log);
    count += 1;
    const weight = Math.max(SETTLED_WEIGHT, 1 / count);
    log += weight * Math.max(-MAX_STEP, Math.min(MAX_STEP, valueLog - log));
    return previous;
  }

  return { record };
}
