/** The clock and timers that a controller gets from its host. Milliseconds throughout. */
interface Clock {
  now(): number;
  /** Calls back once after the delay; the answer cancels it. */
  setTimer(delayMs: number, callback: () => void): () => void;
}

export default Clock;
