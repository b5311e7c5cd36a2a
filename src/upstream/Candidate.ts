/** An upstream that could take a request, with what the choice depends on. */
interface Candidate {
  id: string;
  dataCentre: string;
  slots: number;
  /** Requests in progress there, from all VMs. */
  inFlight: number;
  /** Time that the prompts before this one take to be read there, in milliseconds. */
  waitMs: number;
  /** Share of recent requests that failed, 0 to 1. */
  failureShare: number;
  /** Recent answer time against that of its peers; 1 is as fast as they are. */
  slowness: number;
  isSuspended: boolean;
}

export default Candidate;
