/**
 * Time for which a VM may use what it has been lent, from its request for it. Below the time of a vote, so
 * that the leases of all but the last holder have expired when another VM becomes the holder.
 */
const LEASE_MS = 800;

export default LEASE_MS;
