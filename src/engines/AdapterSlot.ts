/**
 * An adapter slot of an engine with the adapter that it holds or may hold. After a load or unload
 * command without a response the slot stays occupied (`uncertain`) until the engine's command count
 * shows whether the command was executed.
 */
interface AdapterSlot {
  key: string;
  version: number;
  state: 'loading' | 'resident' | 'leaving' | 'uncertain';
  /** When the load was sent or confirmed, or the slot was read from a report. */
  since: number;
  /** When a load should be complete, or an unload is to be sent again. */
  dueAt: number;
  /** Command count that the last command for this slot expected of the engine. */
  sentAtSequence: number | undefined;
  /** Whether the engine was known to hold or load the adapter since it started. */
  isHeld: boolean;
  /** VMs whose requests wait for the adapter. */
  requesters: string[];
}

export default AdapterSlot;
