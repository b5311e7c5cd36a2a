/** Callers wait for a stated time only up to this part of the time that they have left. */
const MAX_HONOURED_PART = 1 / 3;
/** Spreads the returns of callers that were refused for the same reason. */
const SPREAD_MS = 600;
/** Part of the longest honoured time over which returns are spread that come before the end. */
const EARLY_SPREAD_PART = 1 / 3;

/**
 * Returns when a caller is to come back, in milliseconds, if what refuses it ends in `endsInMs` and it
 * has `remainingMs` left; `random` is from 0 to 1.
 */
export default function getReturnMs(endsInMs: number, remainingMs: number, random: number): number {
  const longestMs = Math.max(1, remainingMs * MAX_HONOURED_PART);
  const returnMs = endsInMs + random * SPREAD_MS;
  return Math.floor(
    returnMs <= longestMs ? returnMs : longestMs * (1 - random * EARLY_SPREAD_PART),
  );
}
