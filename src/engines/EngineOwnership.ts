/** This VM's ownership of an engine. */
interface EngineOwnership {
  /**
   * Revision at which the engine was claimed. It does not change while the ownership lasts: a command
   * that is delayed must not arrive after one with a higher number.
   */
  fence: number;
  /** Revision of the record, which is written again after the quiet time of a takeover. */
  recordRevision: number;
  /** Lease of this VM's registration under which the ownership was recorded. */
  leaseNumber: number;
  /** No command is sent before this time: the former owner's last ones may still arrive. */
  sendAfter: number;
}

export default EngineOwnership;
