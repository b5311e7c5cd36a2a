import type createEngineStates from './createEngineStates';

/** The latest known state of every engine. */
type EngineStates = ReturnType<typeof createEngineStates>;

export default EngineStates;
