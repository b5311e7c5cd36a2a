import type Change from '../keyValue/Change';

/** Changes that update a mirror at any revision from `fromRevision` on to `revision`. */
interface ChangeBatch {
  fromRevision: number;
  revision: number;
  /** Time since the key-value service confirmed `revision`, in milliseconds. */
  ageMs: number;
  changes: Change[];
  /** Whether keys that `changes` lacks do not exist; always set if a batch begins a generation. */
  isWhole?: boolean;
}

export default ChangeBatch;
