/**
 * One VM's requests at one upstream: adapter, requests in progress and milliseconds since the last
 * use.
 */
type AdapterUsage = [string, number, number][];

export default AdapterUsage;
