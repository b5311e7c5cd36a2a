/** Why a request is not served, as callers are told; none of these has run. */
type Refusal =
  | { kind: 'notReady'; retryAfterMs: number }
  | { kind: 'noRoute' }
  | { kind: 'badRequest'; detail: string }
  | { kind: 'headerTooLarge' }
  | { kind: 'bodyTooLarge' }
  | { kind: 'slowBody' }
  | { kind: 'noUpstream'; retryAfterMs: number }
  | { kind: 'busy'; retryAfterMs: number }
  | { kind: 'noAdapter'; retryAfterMs: number }
  | { kind: 'deadline'; retryAfterMs: number };

export default Refusal;
