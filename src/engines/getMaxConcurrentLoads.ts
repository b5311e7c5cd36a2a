/** Loads that may be on their way to one engine at once; the engines' own limit. */
const MAX_LOADING = 4;
/** Loads that the adapter store carries at full speed, by the pages of the smaller deployments. */
const MIN_AT_FULL_SPEED = 8;

/**
 * Returns how many loads may be on their way to one engine: beyond what the store carries at full
 * speed all loads slow down together, so that one after the other is sooner. Answers bursts of
 * adapters that lie nowhere.
 *
 * @param engines Engines that share the store; it carries about one load for each of them.
 * @param elsewhere Loads on their way to the other engines.
 */
export default function getMaxConcurrentLoads(engines: number, elsewhere: number): number {
  const atFullSpeed = Math.max(MIN_AT_FULL_SPEED, engines + 1);
  return Math.max(1, Math.min(MAX_LOADING, atFullSpeed - elsewhere));
}
