/** A write of a key at a revision; without a value, the removal of the key. */
interface Change {
  key: string;
  revision: number;
  value?: string;
}

export default Change;
