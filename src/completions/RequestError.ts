import type RefusalName from '../messages/RefusalName';

/**
 * Reason why a request ended without a complete response. `ran` is `no` only if the request
 * certainly was not executed.
 */
interface RequestError {
  reason: RefusalName;
  ran: 'no' | 'unknown';
  retryAfterMs: number;
  detail?: string;
}

export default RequestError;
