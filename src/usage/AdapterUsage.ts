/**
 * One VM's requests at one upstream: adapter, in-flight requests and milliseconds since the last
 * use.
 */
type AdapterUsage = [string, number, number][];

export default AdapterUsage;
