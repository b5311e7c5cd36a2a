import type createRateLimiting from './createRateLimiting';

/** Keeps the limits that upstreams state for the requests of all VMs together. */
type RateLimiting = ReturnType<typeof createRateLimiting>;

export default RateLimiting;
