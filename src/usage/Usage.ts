import type createUsage from './createUsage';

/** Requests in progress by upstream and adapter. */
type Usage = ReturnType<typeof createUsage>;

export default Usage;
