import type RefusalName from '../messages/RefusalName';

/** Why a request ended without its whole answer. `ran` is "no" only where that is certain. */
interface RequestError {
  reason: RefusalName;
  ran: 'no' | 'unknown';
  retryAfterMs: number;
  detail?: string;
}

export default RequestError;
