import type createLoads from './createLoads';

/** The adapters that requests on this VM wait for. */
type Loads = ReturnType<typeof createLoads>;

export default Loads;
