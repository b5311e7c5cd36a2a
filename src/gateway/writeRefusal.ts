import { match, P } from 'ts-pattern';
import type Refusal from './Refusal';
import type ResponseWriter from './ResponseWriter';

const MS_PER_SECOND = 1000;

/**
 * Writes the response to a request that has not run, with a `retry-after` header if a retry can
 * succeed. Returns the status.
 */
export default function writeRefusal(response: ResponseWriter, refusal: Refusal): number {
  const status = match(refusal.kind)
    .with('noRoute', () => 404)
    .with('badRequest', () => 400)
    .with('unknownKey', () => 401)
    .with('headerTooLarge', () => 431)
    .with('bodyTooLarge', () => 413)
    .with('slowBody', () => 408)
    .with('overAllowance', () => 429)
    .with(
      P.union(
        'notReady',
        'partitioned',
        'noUpstream',
        'busy',
        'noAdapter',
        'limited',
        'resting',
        'deadline',
        'blocked',
        'unknownOrigin',
        'unconfirmed',
      ),
      () => 503,
    )
    .exhaustive();
  const trait = refusal.kind === 'blocked' ? refusal.trait : undefined;
  const body = Buffer.from(JSON.stringify({ error: { code: refusal.kind, ran: 'no', trait } }));
  const retryAfter: [string, string][] =
    'retryAfterMs' in refusal
      ? [['retry-after', String(refusal.retryAfterMs / MS_PER_SECOND)]]
      : [];
  response.writeHead(status, [
    ['content-type', 'application/json'],
    ['content-length', String(body.length)],
    ...retryAfter,
  ]);
  response.end(body);
  return status;
}
