import type Allowance from '../manifest/Allowance';
import type CallerRequest from '../gateway/CallerRequest';

/** Larger numbers of tokens are errors: the largest requests are of 10,000 tokens. */
const MAX_TOKENS = 10_000_000;

/**
 * Returns the amount of an allowance that a request uses, which is never zero. A number of tokens that is
 * missing, zero, negative or huge is treated as absent.
 */
export default function getRequestAmount(
  allowance: Pick<Allowance, 'unit' | 'defaultTokens'>,
  { promptTokens, outputTokens }: Pick<CallerRequest, 'promptTokens' | 'outputTokens'>,
): number {
  if (allowance.unit === 'requests') {
    return 1;
  }
  const tokens = promptTokens + outputTokens;
  const isStated = promptTokens >= 0 && outputTokens >= 0 && tokens > 0 && tokens <= MAX_TOKENS;
  return Math.max(1, Math.ceil(isStated ? tokens : allowance.defaultTokens));
}
