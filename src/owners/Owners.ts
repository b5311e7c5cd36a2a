import type createOwners from './createOwners';

/** The controller that claims and runs pools of engines for this VM. */
type Owners = ReturnType<typeof createOwners>;

export default Owners;
