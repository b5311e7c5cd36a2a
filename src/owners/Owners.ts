import type createOwners from './createOwners';

/** The controller of pool ownership. */
type Owners = ReturnType<typeof createOwners>;

export default Owners;
