import type createMembers from './createMembers';

/** The controller that knows the other entry VMs. */
type Members = ReturnType<typeof createMembers>;

export default Members;
