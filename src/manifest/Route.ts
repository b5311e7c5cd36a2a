/** One row of the manifest: which requests go to which services, and how. Times in milliseconds. */
interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash; the longest one that begins a path wins. */
  pathPrefix: string;
  kind: 'idempotent' | 'nonIdempotent' | 'stream';
  /** Longest time from the arrival of a request to its final answer. */
  timeoutMs: number;
  /** Time within which an answer (or the first event of a stream) is on time. */
  latencyObjectiveMs: number;
  /** Longest pause between two events of a stream that is still on time. */
  pauseObjectiveMs: number | undefined;
  /** Most upstreams that one request may be sent to. */
  attempts: number;
  /** 0 is the most urgent. */
  urgency: number;
  /** Whether a broken stream may go on at another upstream. */
  isResumable: boolean;
  targets: { service: string; weight: number }[];
}

export default Route;
