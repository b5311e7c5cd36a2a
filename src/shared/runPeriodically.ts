import type Clock from './Clock';

/**
 * Runs a task repeatedly, at first without delay and then `pauseMs` after the end of each run.
 * Returns a function that stops it. The task must not throw or reject: it would not run again.
 */
export default function runPeriodically(
  clock: Clock,
  pauseMs: number,
  task: () => void | Promise<void>,
): () => void {
  let stopped = false;
  let cancel = () => {};
  const run = async () => {
    if (stopped) {
      return;
    }
    await task();
    if (!stopped) {
      cancel = clock.setTimer(pauseMs, run);
    }
  };
  cancel = clock.setTimer(0, run);
  return () => {
    stopped = true;
    cancel();
  };
}
