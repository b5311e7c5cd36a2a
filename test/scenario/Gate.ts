/**
 * Stands between a VM and everything else. A frozen VM runs nothing until it thaws, and then all at
 * once; a dead one runs nothing any more.
 */
interface Gate {
  /** Runs now, on thaw, or never. */
  pass(callback: () => void): void;
  isDead(): boolean;
}

export default Gate;
