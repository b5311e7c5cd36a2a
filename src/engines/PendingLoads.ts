import type createPendingLoads from './createPendingLoads';

/** The adapter loads that requests on this VM wait for. */
type PendingLoads = ReturnType<typeof createPendingLoads>;

export default PendingLoads;
