import type SlotRequest from './SlotRequest';

/** Decision about a request for a slot. `unknown`: the issuer knows no upstream for the request. */
type SlotDecision = { request: SlotRequest } & (
  | { kind: 'granted'; upstream: string }
  | { kind: 'refused'; retryAfterMs: number }
  | { kind: 'unknown' }
);

export default SlotDecision;
