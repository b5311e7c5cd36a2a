/** The engines' own limit of concurrent loads. */
const MAX_LOADS_PER_ENGINE = 4;
/** Loads that the adapter store serves at full speed, as documented for small deployments. */
const MIN_FULL_SPEED_LOADS = 8;

/**
 * Returns how many loads may be in progress on one engine. Beyond what the adapter store serves at
 * full speed all loads slow down together, so that sequential loads complete sooner. Designed for
 * bursts of requests for adapters that no engine holds.
 *
 * @param engineCount Number of engines that share the adapter store, which serves about one load
 *   for each.
 * @param otherLoads Loads in progress on the other engines.
 */
export default function getMaxConcurrentLoads(engineCount: number, otherLoads: number): number {
  const fullSpeedLoads = Math.max(MIN_FULL_SPEED_LOADS, engineCount + 1);
  return Math.max(1, Math.min(MAX_LOADS_PER_ENGINE, fullSpeedLoads - otherLoads));
}
