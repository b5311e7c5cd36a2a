/** Reason sent to a caller whose request is refused. A refused request has not run. */
type Refusal =
  /** `partitioned`: this VM reaches no upstream, and another VM forwarded the request to it. */
  | { kind: 'notReady' | 'partitioned'; retryAfterMs: number }
  | { kind: 'noRoute' }
  /** The route needs the key of an organisation, and the request has none that is in force. */
  | { kind: 'unknownKey' }
  /** The manifest was not confirmed for so long that its keys may have been withdrawn. */
  | { kind: 'unconfirmed'; retryAfterMs: number }
  | { kind: 'badRequest'; detail: string }
  | { kind: 'headerTooLarge' }
  | { kind: 'bodyTooLarge' }
  | { kind: 'slowBody' }
  /**
   * `limited`: the upstreams that could serve the request take no more than they do now. `resting`:
   * they want none of this VM for some time.
   */
  | {
      kind: 'noUpstream' | 'busy' | 'noAdapter' | 'limited' | 'resting';
      retryAfterMs: number;
      seen?: CapacityDetails;
    }
  | { kind: 'deadline'; retryAfterMs: number }
  /** The organisation has used its allowance; `seen` is the state of its account. */
  | { kind: 'overAllowance'; retryAfterMs: number; seen?: object }
  /** The request resumes a stream, and the software version at which that began is not known. */
  | { kind: 'unknownOrigin'; retryAfterMs: number }
  /** A trait of the request crashes upstreams; none will run it until the block ends. */
  | { kind: 'blocked'; trait: string; retryAfterMs: number };

/** State that led to a refusal for lack of capacity; written to the log. */
interface CapacityDetails {
  /** Ready upstreams; `holders` counts those that hold the adapter. */
  ready: number;
  holders: number;
  /** Engines that may load the adapter; `pending` counts loads queued or running there. */
  homes: number;
  pending: number;
  /** In-flight requests at all ready upstreams; `slots` is the sum of their request slots. */
  inFlight: number;
  slots: number;
  /** Shortest prefill backlog among the upstreams, in milliseconds. */
  waitMs: number;
}

export default Refusal;
