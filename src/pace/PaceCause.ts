/**
 * Why an upstream gets a pace: it has started; its suspension ends; the key-value service was away, or
 * this VM has just started, so that what it knows of upstreams is old or missing.
 */
type PaceCause = 'started' | 'suspended' | 'outage' | 'newVm';

export default PaceCause;
