/** Figures of the engines' description: tokens read in a millisecond, and what a prompt adds. */
const TOKENS_PER_MS = 38;
const SETUP_MS = 2;
const PAIRS_MS_PER_MILLION = 1;
const MILLION = 1_000_000;

/** Returns the time for which reading a prompt stops the streams of an engine. */
export default function getPrefillMs(tokens: number): number {
  return SETUP_MS + tokens / TOKENS_PER_MS + (tokens * tokens * PAIRS_MS_PER_MILLION) / MILLION;
}
