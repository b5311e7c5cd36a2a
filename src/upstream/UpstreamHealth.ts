import type createUpstreamHealth from './createUpstreamHealth';

/** Health of upstreams, derived from the outcomes of requests sent to them. */
type UpstreamHealth = ReturnType<typeof createUpstreamHealth>;

export default UpstreamHealth;
