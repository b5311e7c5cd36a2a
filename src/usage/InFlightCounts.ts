/** In-flight requests by upstream, of one VM or of all VMs of a data centre; without zeros. */
type InFlightCounts = [string, number][];

export default InFlightCounts;
