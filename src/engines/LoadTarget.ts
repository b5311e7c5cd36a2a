/** An engine that can load an adapter, with the figures on which the choice depends. */
interface LoadTarget {
  id: string;
  /** Loads that are in progress or queued on the engine. */
  pending: number;
  inFlight: number;
  slots: number;
  /** Lasting duration of work as a multiple of the median engine's; 1 if it is not known. */
  duration?: number;
  /** Prefill time of the prompts that are queued on the engine, in milliseconds. */
  waitMs: number;
  /** Adapter slots that hold no adapter. */
  freeAdapterSlots: number;
  /** Adapter slots whose adapter no request uses. */
  idleAdapterSlots: number;
}

export default LoadTarget;
