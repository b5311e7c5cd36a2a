/** A write; a key with a `lease` is deleted when that lease ends. */
type Write =
  { kind: 'put'; key: string; value: string; lease?: string } | { kind: 'delete'; key: string };

/** Writes applied atomically if every compared key has the given revision (0: no such key). */
interface KeyValueTransaction {
  compare: { key: string; modRevision: number }[];
  writes: Write[];
  /** Keys to read and return if a comparison fails. */
  readOnFailure: string[];
}

export default KeyValueTransaction;
