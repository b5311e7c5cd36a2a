/**
 * How the opening of a connection ended. `refused`: the host has no process on that port, or something
 * in between refuses in its name. `silent`: neither came in time.
 */
type ProbeOutcome = 'accepted' | 'refused' | 'silent';

export default ProbeOutcome;
