import type ResponseFraming from './ResponseFraming';

/** Statuses of responses that have no body, whatever their headers say. */
const BODILESS_STATUSES = new Set([204, 304]);
const LAST_CODING_CHUNKED = /(^|[,\s])chunked\s*$/i;

/**
 * Returns what delimits a final response to a request of `method` (RFC 9112, 6.3). The names of the
 * headers are in lowercase.
 */
export default function getResponseFraming(
  method: string,
  status: number,
  headers: Record<string, string | string[] | undefined>,
): ResponseFraming {
  if (method === 'HEAD' || BODILESS_STATUSES.has(status)) {
    return 'none';
  }
  const coding = headers['transfer-encoding'];
  if (coding !== undefined) {
    return LAST_CODING_CHUNKED.test(String(coding)) ? 'chunks' : 'connection';
  }
  return headers['content-length'] === undefined ? 'connection' : 'length';
}
