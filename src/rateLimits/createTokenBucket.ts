const MS_PER_SECOND = 1000;
/** Tokens of this time, and at least so many, are kept: requests come unevenly. */
const DEPTH_MS = 500;
const MIN_DEPTH = 2;
/**
 * Time between two tokens of a limit of zero: only the response to a request shows that the upstream
 * takes some again.
 */
const TRIAL_INTERVAL_MS = 5000;

/**
 * Creates a token bucket that fills at the rate of a limit, which may change, from empty at
 * `startsAt`. It holds few tokens: all requests of its limit are counted over seconds.
 */
export default function createTokenBucket(startsAt: number) {
  let tokens = 0;
  let filledAt = startsAt;

  function getIntervalMs(perSecond: number): number {
    return perSecond > 0 ? MS_PER_SECOND / perSecond : TRIAL_INTERVAL_MS;
  }

  function fill(now: number, perSecond: number): void {
    const intervalMs = getIntervalMs(perSecond);
    const depth = Math.max(MIN_DEPTH, DEPTH_MS / intervalMs);
    tokens = Math.min(depth, tokens + Math.max(0, now - filledAt) / intervalMs);
    filledAt = Math.max(filledAt, now);
  }

  /** Takes a token; returns 0, or the time until there is one if the bucket is empty. */
  function take(now: number, perSecond: number): number {
    fill(now, perSecond);
    if (tokens >= 1) {
      tokens -= 1;
      return 0;
    }
    return Math.max(0, filledAt - now) + (1 - tokens) * getIntervalMs(perSecond);
  }

  return { take, getIntervalMs };
}
