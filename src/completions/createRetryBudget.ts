const EARNED_PER_REQUEST = 0.2;
const MAX_TOKENS = 50;

/**
 * Lets retries be at most a share of the requests, after a small reserve, so that a fault does not
 * multiply the load.
 */
export default function createRetryBudget() {
  let tokens = MAX_TOKENS / 2;
  return {
    recordRequest: () => {
      tokens = Math.min(MAX_TOKENS, tokens + EARNED_PER_REQUEST);
    },
    tryTake: (): boolean => {
      if (tokens < 1) {
        return false;
      }
      tokens -= 1;
      return true;
    },
  };
}
