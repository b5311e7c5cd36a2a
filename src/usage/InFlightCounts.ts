/** Requests in progress by upstream, of one VM or of a data centre's VMs; zeros are left out. */
type InFlightCounts = [string, number][];

export default InFlightCounts;
