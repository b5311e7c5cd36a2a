import type createUpstreamLoads from './createUpstreamLoads';

/** Loads that upstreams state, and their speeds. */
type UpstreamLoads = ReturnType<typeof createUpstreamLoads>;

export default UpstreamLoads;
