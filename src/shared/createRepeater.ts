import type Clock from './Clock';

/** Runs an asynchronous task again and again, a fixed pause after each end; returns its stop. */
export default function createRepeater(
  time: Clock,
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
      cancel = time.setTimer(pauseMs, run);
    }
  };
  cancel = time.setTimer(0, run);
  return () => {
    stopped = true;
    cancel();
  };
}
