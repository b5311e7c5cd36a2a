import type createMembers from './createMembers';

/** Tracks the other entry VMs and this VM's registration. */
type Members = ReturnType<typeof createMembers>;

export default Members;
