/**
 * Failures of the key-value service.
 * `notDone`: the call certainly had no effect. `unknown`: it may have taken effect.
 */
type KeyValueError =
  | { kind: 'notDone'; reason: string }
  | { kind: 'unknown'; reason: string }
  | { kind: 'rateLimited' };

export default KeyValueError;
