import type createUsage from './createUsage';

/** In-flight requests by upstream and adapter. */
type Usage = ReturnType<typeof createUsage>;

export default Usage;
