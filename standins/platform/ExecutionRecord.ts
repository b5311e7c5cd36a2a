/** Events that the servers recorded, for checks after a run. Times are Unix times in milliseconds. */
interface ExecutionRecord {
  /** Executions by request id, in order; `model` is the adapter's name if one was requested. */
  runs: Record<
    string,
    { at: number; server: string; model: string; version: number; isOnce: boolean }[]
  >;
  /** Invariant violations: adapter slots exceeded, commands of two owners interleaved. */
  faults: {
    at: number;
    holder: string;
    text: string;
    /** The preceding command, if the violation is between two commands. */
    former?: { holder: string; at: number };
  }[];
  /**
   * Crashes of servers. `cause` is `part` if a part of a prompt caused it, or the path of the request
   * that did.
   */
  crashes: { at: number; server: string; cause?: string }[];
  /** Arrivals of requests that crash servers. */
  crashingArrivals: { at: number; id: string; cause: string }[];
  /** Changes of the requests a second that servers state; null: none any more. */
  limits: { at: number; server: string; perSecond: number | null }[];
  /** Arrivals of requests at servers that have stated a limit. */
  limitedArrivals: { at: number; server: string; id: string }[];
  /** Responses in which servers stated that they leave, or want no requests until `endsAt`. */
  notices: {
    at: number;
    server: string;
    /** Start time of the server. */
    boot: number;
    id: string;
    kind: 'leaving' | 'rest';
    endsAt: number | null;
  }[];
  /** Arrivals of requests at servers that have made such a statement. */
  noticedArrivals: { at: number; server: string; boot: number; id: string }[];
  /** Ends of servers that had to turn too many requests away. */
  falls: { at: number; server: string }[];
  /** Number of commands by result. */
  orders: Record<string, number>;
}

export default ExecutionRecord;
