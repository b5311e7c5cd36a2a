/** An adapter slot in use. An adapter with `running` above 0 is never evicted. */
interface Slot {
  model: string;
  /** Name of the adapter on the engine; contains the fencing number of the owner that loaded it. */
  name: string;
  state: 'loading' | 'resident' | 'evicting';
  running: number;
  since: number;
  lastUsedAt: number;
  /** The adapter isn't evicted before this time. */
  keepUntil: number;
}

/** State of one engine as recorded by the owner of its pool. */
interface PoolEngine {
  id: string;
  slots: number;
  batchSize: number;
  dataCentre: string;
  /** False while the engine is leaving or doesn't respond; it gets no new work then. */
  usable: boolean;
  /** Requests granted on the engine and not yet finished. */
  running: number;
  /** Slots by model. */
  resident: Map<string, Slot>;
}

export default PoolEngine;
