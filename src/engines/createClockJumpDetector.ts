import type Log from '../events/Log';
import type Clock from '../shared/Clock';

/**
 * A larger difference between the time of day and the steady clock indicates a clock step or a
 * suspension of the VM. The lease is then not relied on until it has been renewed once more.
 */
const CLOCK_JUMP_THRESHOLD_MS = 200;

interface ClockJumpDetectorHost extends Pick<Clock, 'now'> {
  /** Returns the time of day; only its jumps relative to the steady clock matter. */
  getTimeOfDay(): number;
  log: Log;
}

/**
 * Returns a function that tells whether, within `uncertainMs`, the time of day has jumped relative to
 * the steady clock, which does not advance while the VM is suspended.
 */
export default function createClockJumpDetector(
  host: ClockJumpDetectorHost,
  uncertainMs: number,
): (now: number) => boolean {
  let clockOffset = host.getTimeOfDay() - host.now();
  let uncertainUntil = -Infinity;
  return (now) => {
    const offset = host.getTimeOfDay() - now;
    if (Math.abs(offset - clockOffset) > CLOCK_JUMP_THRESHOLD_MS) {
      uncertainUntil = now + uncertainMs;
      host.log('clockJumped', { byMs: Math.round(offset - clockOffset) });
    }
    clockOffset = offset;
    return now < uncertainUntil;
  };
}
