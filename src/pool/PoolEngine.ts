/** One adapter slot in use. An adapter with `running` above 0 is never evicted. */
interface Slot {
  model: string;
  /** The engine's name for the adapter; it carries the fencing number of the loading owner. */
  name: string;
  state: 'loading' | 'resident' | 'evicting';
  running: number;
  since: number;
  lastUsedAt: number;
  /** No eviction is tried again before this time. */
  keepUntil: number;
}

/** One engine as its owner knows it. */
interface PoolEngine {
  id: string;
  slots: number;
  batchSize: number;
  dataCentre: string;
  /** False while it is leaving or does not answer: no new work. */
  usable: boolean;
  running: number;
  resident: Map<string, Slot>;
}

export default PoolEngine;
