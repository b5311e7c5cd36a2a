/** Load that an upstream states in a response. */
interface StatedLoad {
  running: number;
  waiting: number;
  slots: number;
  /** Duration of work there at this moment, as a multiple of the usual; undefined if not stated. */
  slowdown: number | undefined;
}

export default StatedLoad;
