import type createVirtualClock from './createVirtualClock';

/** Clock that a scenario advances. */
type VirtualClock = ReturnType<typeof createVirtualClock>;

export default VirtualClock;
