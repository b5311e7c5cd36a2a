/** One VM's requests by upstream: adapter, requests in progress, milliseconds since its last use. */
type Share = { upstream: string; uses: [string, number, number][] }[];

export default Share;
