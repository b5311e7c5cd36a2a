import type Log from '../events/Log';
import type Metrics from '../metrics/Metrics';
import type LimitReason from './LimitReason';

const LOG_INTERVAL_MS = 1000;

interface LimitLogHost {
  now(): number;
  log: Log;
  metrics: Pick<Metrics, 'clientLimits'>;
  getHeldBytes(): number;
}

/**
 * Creates a function that counts refused and disconnected clients by reason, and logs at most one
 * line a second for each reason, with the number since the line before.
 */
export default function createLimitLog(host: LimitLogHost) {
  const states = new Map<LimitReason, { count: number; loggedAt: number }>();

  return function recordLimit(reason: LimitReason, address: string): void {
    const now = host.now();
    const state = states.get(reason) ?? { count: 0, loggedAt: -Infinity };
    states.set(reason, state);
    state.count += 1;
    host.metrics.clientLimits.inc({ reason });
    if (now - state.loggedAt >= LOG_INTERVAL_MS) {
      const heldBytes = host.getHeldBytes();
      host.log('clientLimited', { reason, address, count: state.count, heldBytes });
      Object.assign(state, { count: 0, loggedAt: now });
    }
  };
}
