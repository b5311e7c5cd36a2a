/** An upstream that may serve a request, with the values that decide the choice. */
interface Candidate {
  id: string;
  dataCentre: string;
  slots: number;
  /** In-flight requests there, sent by all VMs. */
  inFlight: number;
  /** Time until the prefills queued there before this request are done, in milliseconds. */
  waitMs: number;
  /** Weighted ratio of recent requests that failed, from 0 to 1. */
  failureRate: number;
  /** Recent latency divided by the median of its peers; 1 means equally fast. */
  relativeLatency: number;
  /** Duration of work now as a multiple of the median upstream's; undefined if it is not known. */
  duration?: number;
  /** Whether upstreams of the service state their load. */
  isLoadStated?: boolean;
  /** Whether all VMs together have as many requests there as its pace allows. */
  isAtPace?: boolean;
  isSuspended: boolean;
}

export default Candidate;
