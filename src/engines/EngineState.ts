/** What the owner of an engine tells the other VMs of it. */
interface EngineState {
  engine: string;
  /** Life of the engine that this describes. */
  startedAt: number;
  /** Fencing number of the owner; states of a lower one are out of date. */
  fence: number;
  /** Rises with every state of one fence. */
  sequence: number;
  /** Whether the owner can order loads now. */
  canLoad: boolean;
  /** Whether the engine answers its owner. */
  isReachable: boolean;
  /** Loads that are wanted and not yet ordered. */
  queued: number;
  models: { name: string; version: number }[];
  adapters: Held[];
}

interface Held {
  /** Model and name of the adapter: `model/adapter`. */
  key: string;
  version: number;
  state: 'loading' | 'resident' | 'leaving';
}

export default EngineState;
