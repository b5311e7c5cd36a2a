import { createHash } from 'node:crypto';
import type CallerRequest from '../gateway/CallerRequest';

const KEY_BYTES = 12;
const SEPARATOR = '\0';

/**
 * Returns a key that is equal for two requests of the same caller with the same method, host, path,
 * query and body, in hexadecimal.
 */
export default function getRequestKey(
  request: Pick<CallerRequest, 'method' | 'host' | 'path' | 'caller' | 'body'>,
): string {
  const { method, host, path, caller = '', body } = request;
  return createHash('sha256')
    .update([method, host.toLowerCase(), path, caller, ''].join(SEPARATOR))
    .update(body)
    .digest('hex')
    .slice(0, 2 * KEY_BYTES);
}
