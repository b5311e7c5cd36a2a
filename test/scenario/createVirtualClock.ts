import createEventQueue from '../../bench/createEventQueue';

const SETTLE_ROUNDS = 2;

/** Creates a clock that moves only by `advance`. Pending promises settle between two timers. */
export default function createVirtualClock() {
  const timers = createEventQueue<{ run: () => void; isCancelled: boolean }>();
  let now = 1000;

  function setTimer(delayMs: number, callback: () => void): () => void {
    const timer = { run: callback, isCancelled: false };
    timers.push(now + Math.max(0, delayMs), timer);
    return () => {
      timer.isCancelled = true;
    };
  }

  async function settle(): Promise<void> {
    for (let round = 0; round < SETTLE_ROUNDS; round += 1) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  /** Runs all timers that are due within the given duration, then moves the clock to its end. */
  async function advance(durationMs: number): Promise<void> {
    const until = now + durationMs;
    setTimer(durationMs, () => {});
    await settle();
    let next = timers.pop();
    while (next) {
      now = Math.max(now, next.at);
      if (!next.value.isCancelled) {
        next.value.run();
        await settle();
      }
      if (next.at >= until) {
        break;
      }
      next = timers.pop();
    }
    now = until;
  }

  return { now: () => now, setTimer, advance };
}
