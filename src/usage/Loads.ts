/** Requests in progress by upstream, of one VM or of a data centre's VMs; zeros are left out. */
type Loads = [string, number][];

export default Loads;
