import type createEngineStates from './createEngineStates';

/** What this VM knows of what lies on which engine. */
type EngineStates = ReturnType<typeof createEngineStates>;

export default EngineStates;
