import type createUpstreams from './createUpstreams';

/** The upstreams that are registered in the store. */
type Upstreams = ReturnType<typeof createUpstreams>;

export default Upstreams;
