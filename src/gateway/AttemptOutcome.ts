import type ResponseHead from './ResponseHead';

/**
 * Outcome of one attempt to serve a request at one upstream.
 * `notSent`: no byte of the request was sent. `notRun`: the upstream states that it did not run the
 * request. `refused`: another VM, to which the request was forwarded, refuses it. `failed`: the upstream returned a complete error response. `lost`: no usable response
 * arrived, and the request may have run. `broken`: a stream ended early, after a part of it was
 * written to the caller. `silent`: no byte arrived within the allowed time. `stopped`: this VM exits,
 * and the request may have run.
 */
type AttemptOutcome =
  | { kind: 'done'; status: number }
  | { kind: 'notSent'; reason: string }
  | { kind: 'notRun'; reason: 'otherUpstream' | 'full'; head: ResponseHead; body: Buffer }
  | { kind: 'refused'; head: ResponseHead; body: Buffer }
  | { kind: 'failed'; head: ResponseHead; body: Buffer }
  | { kind: 'lost'; reason: string }
  | { kind: 'broken'; reason: string }
  | { kind: 'silent' }
  | { kind: 'deadline' }
  | { kind: 'stopped' }
  | { kind: 'callerLeft' };

export default AttemptOutcome;
