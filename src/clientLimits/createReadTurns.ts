import type Clock from '../shared/Clock';

/** Parsing one read of 64 KB in one-byte chunks takes about half of this time. */
const TURN_INTERVAL_MS = 25;

/**
 * Creates turns for bodies in very small chunks, which cost much processor time for each byte: all
 * of them together get one read in each interval, so that many leave time for other requests.
 */
export default function createReadTurns(clock: Clock) {
  const waiting: (() => void)[] = [];
  let nextTurnAt = -Infinity;
  let isScheduled = false;

  function schedule(): void {
    if (!isScheduled && waiting.length > 0) {
      isScheduled = true;
      clock.setTimer(Math.max(0, nextTurnAt - clock.now()), () => {
        isScheduled = false;
        nextTurnAt = clock.now() + TURN_INTERVAL_MS;
        waiting.shift()!();
        schedule();
      });
    }
  }

  return {
    /** Calls `start` when the turn has come. */
    wait(start: () => void): void {
      waiting.push(start);
      schedule();
    },
  };
}
