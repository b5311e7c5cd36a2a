/** The record of an engine's owner as the key-value service holds it. */
interface OwnershipRecord {
  holder: string;
  incarnation: string;
  generation: number;
  isTakeover: boolean;
  /** Start time of the engine's run in which it was first claimed; undefined if that is not known. */
  firstRun: number | undefined;
  revision: number;
}

export default OwnershipRecord;
