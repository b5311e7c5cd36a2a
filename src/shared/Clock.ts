/** Clock and timers that the host provides. All times and delays are in milliseconds. */
interface Clock {
  now(): number;
  /** Calls `callback` once after the delay. Returns a function that cancels the timer. */
  setTimer(delayMs: number, callback: () => void): () => void;
}

export default Clock;
