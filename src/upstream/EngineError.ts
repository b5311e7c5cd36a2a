/**
 * Failure of a request to an engine. `notSent`: no byte of it was sent. `lost`: no complete
 * response arrived, and the request may have run. `stale`: the engine refused an old fencing
 * number. `missing`: the engine does not hold the named adapter. `full`: the engine has no free
 * adapter slot. `failed`: the engine returned another error or a malformed response.
 */
type EngineError =
  | { kind: 'notSent'; reason: string }
  | { kind: 'lost'; reason: string }
  | { kind: 'stale' }
  | { kind: 'missing' }
  | { kind: 'full' }
  | { kind: 'failed'; reason: string };

export default EngineError;
