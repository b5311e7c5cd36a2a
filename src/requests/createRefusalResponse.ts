import refusals from '../messages/refusals';
import type RefusalName from '../messages/RefusalName';

/** Returns the HTTP response for a refusal, with `retry-after` in seconds if there is a delay. */
export default function createRefusalResponse(
  name: RefusalName,
  ran: 'no' | 'unknown' = 'no',
  retryAfterMs = 0,
  detail?: unknown,
): Response {
  const { code, text, status } = refusals[name];
  const headers = new Headers({ 'content-type': 'application/json' });
  if (retryAfterMs > 0) {
    headers.set('retry-after', String(Math.ceil(retryAfterMs / 1000)));
  }
  const error = { code, reason: text, ran, retryAfterMs: Math.ceil(retryAfterMs), detail };
  return new Response(JSON.stringify({ error }), { status, headers });
}
