/** Time of two adapter loads; requests for a new adapter are then done, and engines are free. */
const MIN_RETRY_AFTER_MS = 400;
/** Spreads the retries of callers that were refused at the same time. */
const RETRY_AFTER_JITTER_MS = 600;

/** Returns the retry delay after a refusal for lack of capacity; `random` is from 0 to 1. */
export default function getRetryAfterMs(random: number): number {
  return Math.round(MIN_RETRY_AFTER_MS + random * RETRY_AFTER_JITTER_MS);
}
