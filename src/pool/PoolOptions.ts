/** Settings of the decisions for one pool. */
interface PoolOptions {
  loadsPerSecond: number;
  maxLoadsInFlight: number;
  /** Expected time of one load. */
  loadMs: number;
  /** 1: spread for short stalls; 0: pack for full batches. */
  stallWeight: number;
}

export default PoolOptions;
