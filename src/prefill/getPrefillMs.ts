/** From the engines' documentation; the time has a constant, a linear and a quadratic part. */
const TOKENS_PER_MS = 38;
const PROMPT_OVERHEAD_MS = 2;
const MS_PER_MILLION_PAIRS = 1;
const MILLION = 1_000_000;

/** Returns the time in milliseconds for which a prompt's prefill pauses an engine's streams. */
export default function getPrefillMs(tokens: number): number {
  return (
    PROMPT_OVERHEAD_MS + tokens / TOKENS_PER_MS + (tokens * tokens * MS_PER_MILLION_PAIRS) / MILLION
  );
}
