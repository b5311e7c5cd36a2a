import type Log from '../events/Log';
import type ActiveRequest from '../gateway/ActiveRequest';
import type Clock from '../shared/Clock';
import type Grant from './Grant';
import type createAllowances from './createAllowances';
import getRequestAmount from './getRequestAmount';

/** Interval of log lines on refusals, so that a flood of requests does not fill the log. */
const LOG_INTERVAL_MS = 1000;

interface AllowanceGateHost extends Pick<Clock, 'now'> {
  countRequest(outcome: 'granted' | 'exceeded' | 'noHolder' | 'noReply' | 'tooLarge'): void;
  log: Log;
}

/**
 * Takes what a request uses of its organisation's allowance, and reports refusals. Requests that another
 * VM forwards have used their share there.
 */
export default function createAllowanceGate(
  host: AllowanceGateHost,
  allowances: Pick<ReturnType<typeof createAllowances>, 'acquire'>,
) {
  let loggedAt = -Infinity;
  let unloggedCount = 0;

  function acquire({ callerRequest, organisation }: ActiveRequest): Promise<Grant> | undefined {
    const allowance = organisation?.allowance;
    return callerRequest.forwarded || !allowance
      ? undefined
      : decide(callerRequest.id, organisation, getRequestAmount(allowance, callerRequest));
  }

  async function decide(
    request: string,
    organisation: NonNullable<ActiveRequest['organisation']>,
    amount: number,
  ): Promise<Grant> {
    const grant = await allowances.acquire(host.now(), organisation, amount);
    host.countRequest(grant.kind === 'granted' ? 'granted' : grant.seen.reason);
    if (grant.kind === 'refused') {
      const { retryAfterMs, seen } = grant;
      report(request, { organisation: organisation.name, ...seen, retryAfterMs });
    }
    return grant;
  }

  function report(request: string, details: object): void {
    const now = host.now();
    if (now - loggedAt < LOG_INTERVAL_MS) {
      unloggedCount += 1;
      return;
    }
    host.log('allowanceExceeded', { request, outcome: 'refused', ...details, unloggedCount });
    loggedAt = now;
    unloggedCount = 0;
  }

  return { acquire };
}
