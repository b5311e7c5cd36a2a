const RETRIES_PER_REQUEST = 0.2;
const MAX_AVAILABLE_RETRIES = 50;

/**
 * Limits retries to `RETRIES_PER_REQUEST` per request plus an initial reserve, so that a failure
 * does not multiply the load. Unused retries accumulate up to `MAX_AVAILABLE_RETRIES`.
 */
export default function createRetryBudget() {
  let availableRetries = MAX_AVAILABLE_RETRIES / 2;
  return {
    recordRequest: () => {
      availableRetries = Math.min(MAX_AVAILABLE_RETRIES, availableRetries + RETRIES_PER_REQUEST);
    },
    /** Uses one retry. Returns false if none is left. */
    tryTake: (): boolean => {
      if (availableRetries < 1) {
        return false;
      }
      availableRetries -= 1;
      return true;
    },
  };
}
