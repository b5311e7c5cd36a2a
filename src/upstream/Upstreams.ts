import type createUpstreams from './createUpstreams';

/** The upstreams that the store lists. */
type Upstreams = ReturnType<typeof createUpstreams>;

export default Upstreams;
