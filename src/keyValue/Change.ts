/** A key as it was written at a revision; no value means that the key was removed. */
interface Change {
  key: string;
  revision: number;
  value?: string;
}

export default Change;
