/** The record of an engine's owner as the key-value service holds it. */
interface OwnershipRecord {
  holder: string;
  incarnation: string;
  generation: number;
  isTakeover: boolean;
  revision: number;
}

export default OwnershipRecord;
