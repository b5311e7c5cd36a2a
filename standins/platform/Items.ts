import type createItems from './createItems';

/** The state of the stand-in of the store. */
type Items = ReturnType<typeof createItems>;

export default Items;
