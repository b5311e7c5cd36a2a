import type Clock from '../shared/Clock';

/**
 * Creates a timer that calls `onSilent` once an upstream has sent nothing for `silenceMs`. The time in
 * which this VM does not read doesn't count, and an upstream may be silent for longer as long as
 * `canGiveUp` returns false.
 */
export default function createSilenceTimer(
  host: Clock,
  options: { silenceMs: number; canGiveUp(): boolean; onSilent(): void },
) {
  let isPaused = false;
  let cancel = () => {};

  function restart(): void {
    cancel();
    if (!isPaused && Number.isFinite(options.silenceMs)) {
      cancel = host.setTimer(options.silenceMs, () => {
        if (options.canGiveUp()) {
          options.onSilent();
        } else {
          restart();
        }
      });
    }
  }

  return {
    restart,
    cancel: () => cancel(),
    pause: () => {
      isPaused = true;
      cancel();
    },
    resume: () => {
      isPaused = false;
      restart();
    },
  };
}
