import type ResponseHead from './ResponseHead';

/**
 * What became of a request at one upstream.
 * `notSent`: no byte has left. `notRun`: the upstream says that it did not run it. `failed`: the
 * upstream's own failure, whole. `lost`: it may have run. `broken`: a stream ended midway, and the
 * caller has a part of it. `silent`: nothing came for longer than allowed.
 */
type AttemptOutcome =
  | { kind: 'done'; status: number }
  | { kind: 'notSent'; reason: string }
  | { kind: 'notRun'; reason: 'otherUpstream' | 'full' }
  | { kind: 'failed'; head: ResponseHead; body: Buffer }
  | { kind: 'lost'; reason: string }
  | { kind: 'broken'; reason: string }
  | { kind: 'silent' }
  | { kind: 'deadline' }
  | { kind: 'callerLeft' };

export default AttemptOutcome;
