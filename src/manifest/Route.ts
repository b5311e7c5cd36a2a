/** A row of the manifest that assigns requests to services and sets how they are handled. */
interface Route {
  name: string;
  host: string;
  /** Starts and ends with a slash. The longest prefix that matches a path has precedence. */
  pathPrefix: string;
  kind: 'idempotent' | 'nonIdempotent' | 'stream';
  /** Maximum time from the arrival of a request to its final response. */
  timeoutMs: number;
  /** Time within which a response, or the first event of a stream, counts as on time. */
  latencyObjectiveMs: number;
  /** Maximum pause between two events of a stream that counts as on time. */
  pauseObjectiveMs: number | undefined;
  /** Maximum number of upstreams that one request may be sent to. */
  attempts: number;
  /** 0 is the most urgent. */
  urgency: number;
  /** Whether an interrupted stream may be resumed at another upstream. */
  isResumable: boolean;
  /** Whether requests need no API key. */
  isPublic: boolean;
  targets: { service: string; weight: number }[];
}

export default Route;
