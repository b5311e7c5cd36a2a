import type createEngineViews from './createEngineViews';

/** What this VM knows of what lies on which engine. */
type EngineViews = ReturnType<typeof createEngineViews>;

export default EngineViews;
