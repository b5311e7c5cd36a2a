import type createUpstreams from './createUpstreams';

/** The upstreams that are registered in the key-value service. */
type Upstreams = ReturnType<typeof createUpstreams>;

export default Upstreams;
