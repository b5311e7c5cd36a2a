/** State of an engine as its owner publishes it to all VMs. */
interface EngineState {
  engine: string;
  /** Start time of the engine, which distinguishes restarts under the same id. */
  startedAt: number;
  /** Fencing number of the owner; a state with a lower number is out of date. */
  fence: number;
  /** Increases with every state that is published under one fencing number. */
  sequence: number;
  /** Whether the owner can send load commands now. */
  canLoad: boolean;
  /** Whether the engine responds to its owner. */
  isReachable: boolean;
  /** Number of requested loads for which no command has been sent yet. */
  queued: number;
  models: { name: string; version: number }[];
  adapters: HeldAdapter[];
}

interface HeldAdapter {
  /** Model and name of the adapter: `model/adapter`. */
  key: string;
  version: number;
  state: 'loading' | 'resident' | 'leaving';
}

export default EngineState;
