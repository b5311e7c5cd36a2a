/** A write; `lease` binds the key to the life of a lease. */
type Write =
  { kind: 'put'; key: string; value: string; lease?: string } | { kind: 'delete'; key: string };

/** Writes that take effect together if every compared key still has its revision (0: absent). */
interface KeyValueTransaction {
  compare: { key: string; modRevision: number }[];
  writes: Write[];
  /** Keys that are read back when a comparison fails. */
  readOnFailure: string[];
}

export default KeyValueTransaction;
