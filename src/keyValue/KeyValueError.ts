/**
 * A failed call to the key-value service.
 * `notDone`: the call had no effect. `unknown`: the call may have taken effect.
 */
type KeyValueError =
  | { kind: 'notDone'; reason: string }
  | { kind: 'unknown'; reason: string }
  | { kind: 'rateLimited' };

export default KeyValueError;
