/**
 * Failures of an engine. `notSent`: nothing of the order left this VM. `stale`: the engine refused
 * an old fencing number. `missing`: the engine does not hold the named adapter.
 */
type EngineError =
  | { kind: 'notSent'; reason: string }
  | { kind: 'lost'; reason: string }
  | { kind: 'stale' }
  | { kind: 'missing' }
  | { kind: 'full' }
  | { kind: 'failed'; reason: string };

export default EngineError;
