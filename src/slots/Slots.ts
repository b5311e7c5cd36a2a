import type createSlots from './createSlots';

/** Takes and issues slots of services that have few of them. */
type Slots = ReturnType<typeof createSlots>;

export default Slots;
