/**
 * A place on an engine and what lies in it, or may come to lie in it: an order that was not
 * answered holds its place (`uncertain`) until the engine's order count shows what became of it.
 */
interface Slot {
  key: string;
  version: number;
  state: 'loading' | 'resident' | 'leaving' | 'uncertain';
  since: number;
  /** When a load is expected to be done. */
  dueAt: number;
  /** Orders that the engine had accepted before an order that was not answered. */
  sentAtSequence: number | undefined;
  /** VMs whose requests wait for the adapter. */
  requesters: string[];
}

export default Slot;
