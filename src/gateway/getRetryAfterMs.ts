/** Requests for a new adapter are through after two loads; engines then have room again. */
const RETRY_MS = 400;
/** Callers that were refused at the same moment come back spread over this time. */
const RETRY_SPREAD_MS = 600;

/** Returns when a caller is to come back after a refusal for want of room; `random` is from 0 to 1. */
export default function getRetryAfterMs(random: number): number {
  return Math.round(RETRY_MS + random * RETRY_SPREAD_MS);
}
