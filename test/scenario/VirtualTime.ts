import type createVirtualTime from './createVirtualTime';

/** Time under the control of a scenario. */
type VirtualTime = ReturnType<typeof createVirtualTime>;

export default VirtualTime;
