/** One VM's requests at one upstream: adapter, requests in progress, milliseconds since its last use. */
type AdapterUsage = [string, number, number][];

export default AdapterUsage;
