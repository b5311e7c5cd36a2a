/** Why a request is not served, as callers are told; none of these has run. */
type Refusal =
  | { kind: 'notReady'; retryAfterMs: number }
  | { kind: 'noRoute' }
  | { kind: 'badRequest'; detail: string }
  | { kind: 'headerTooLarge' }
  | { kind: 'bodyTooLarge' }
  | { kind: 'slowBody' }
  | { kind: 'noUpstream' | 'busy' | 'noAdapter'; retryAfterMs: number; seen?: Seen }
  | { kind: 'deadline'; retryAfterMs: number };

/** What decided a refusal for want of room, for the log. */
interface Seen {
  /** Upstreams that are ready, and those of them that hold the adapter. */
  ready: number;
  holders: number;
  /** Engines that could load the adapter, and loads that wait or are under way there. */
  homes: number;
  pending: number;
  /** Requests in progress at all ready upstreams, and their slots. */
  inFlight: number;
  slots: number;
  /** Least time that prompts wait at an upstream, in milliseconds. */
  waitMs: number;
}

export default Refusal;
