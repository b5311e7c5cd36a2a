import createEventQueue from '../../bench/createEventQueue';

const SETTLE_ROUNDS = 2;

/** Time that moves only when it is told to. Between two timers all promises settle. */
export default function createVirtualTime() {
  const queue = createEventQueue<{ run: () => void; isCancelled: boolean }>();
  let now = 1000;

  function setTimer(delayMs: number, callback: () => void): () => void {
    const entry = { run: callback, isCancelled: false };
    queue.push(now + Math.max(0, delayMs), entry);
    return () => {
      entry.isCancelled = true;
    };
  }

  async function settle(): Promise<void> {
    for (let round = 0; round < SETTLE_ROUNDS; round += 1) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  /** Runs all timers up to a time from now. */
  async function advance(byMs: number): Promise<void> {
    const until = now + byMs;
    setTimer(byMs, () => {});
    await settle();
    let next = queue.pop();
    while (next) {
      now = Math.max(now, next.at);
      if (!next.value.isCancelled) {
        next.value.run();
        await settle();
      }
      if (next.at >= until) {
        break;
      }
      next = queue.pop();
    }
    now = until;
  }

  return { now: () => now, setTimer, advance };
}
