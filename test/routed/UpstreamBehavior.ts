/** How the fake upstream handles a request. */
type UpstreamBehavior =
  | { kind: 'response'; status: number; body: string; contentType?: string }
  | { kind: 'notRun'; status: number }
  | { kind: 'refusalWithoutId'; isReused: boolean }
  | { kind: 'brokenRejection' }
  | { kind: 'refuseConnection' }
  | { kind: 'reset' }
  | { kind: 'otherResponse' }
  | { kind: 'events'; from: number; to: number; isBroken: boolean }
  | { kind: 'silence' }
  | { kind: 'noTurn' };

export default UpstreamBehavior;
