import type createUpstreamHealth from './createUpstreamHealth';

/** What was learnt of upstreams from the requests sent to them. */
type UpstreamHealth = ReturnType<typeof createUpstreamHealth>;

export default UpstreamHealth;
