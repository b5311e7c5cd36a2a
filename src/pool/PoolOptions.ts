/** Settings for the placement decisions of one pool. */
interface PoolOptions {
  loadsPerSecond: number;
  maxLoadsInFlight: number;
  /** Expected duration of one load. */
  loadMs: number;
  /** From 0, which packs requests into full batches, to 1, which spreads them for short stalls. */
  stallWeight: number;
}

export default PoolOptions;
