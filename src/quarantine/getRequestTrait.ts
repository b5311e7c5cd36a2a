import { createHash } from 'node:crypto';
import type CallerRequest from '../gateway/CallerRequest';
import REQUEST_TRAIT_PREFIX from './REQUEST_TRAIT_PREFIX';

const KEY_CHARACTERS = 24;
const SEPARATOR = '\0';

/**
 * Returns a trait that two requests share if they are of the same caller and have the same method, host,
 * path, query and body.
 */
export default function getRequestTrait(
  request: Pick<CallerRequest, 'method' | 'host' | 'path' | 'caller' | 'body'>,
): string {
  const { method, host, path, caller = '', body } = request;
  const key = createHash('sha256')
    .update([method, host.toLowerCase(), path, caller, ''].join(SEPARATOR))
    .update(body)
    .digest('hex')
    .slice(0, KEY_CHARACTERS);
  return `${REQUEST_TRAIT_PREFIX}${key}`;
}
