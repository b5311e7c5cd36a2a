/** An engine that could load an adapter, with what the choice depends on. */
interface LoadTarget {
  id: string;
  /** Loads that are under way or waiting there. */
  pending: number;
  inFlight: number;
  slots: number;
  /** Time that the prompts before this one take to be read there, in milliseconds. */
  waitMs: number;
  /** Places that hold no adapter, and places whose adapter no request uses. */
  freeAdapterSlots: number;
  idleAdapterSlots: number;
}

export default LoadTarget;
