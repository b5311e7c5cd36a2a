/** A caller's request, including its complete body. */
interface CallerRequest {
  /** Id that the caller chose for this request; responses of upstreams echo it. */
  id: string;
  method: string;
  /** Path and query as the caller sent them. */
  path: string;
  host: string;
  /** Name of the organisation, or the identity that the caller states if callers need no key. */
  caller: string | undefined;
  /** Headers that are forwarded to the upstream unchanged. */
  headers: [string, string][];
  /**
   * How the caller identifies itself, as decoded; the gateway removes it once it has determined the
   * organisation. `allHeaders` are `headers` and those of the caller's identity, in their order.
   */
  credentials?: { apiKey: string | undefined; allHeaders: [string, string][] };
  /**
   * Set once the key was checked, by this VM or the one that forwards the request. The organisation is
   * undefined if a public route was used without a known key.
   */
  verified?: { organisation: string | undefined };
  /** Time that the caller waits for the response; undefined if it states none. */
  deadlineMs: number | undefined;
  model: string | undefined;
  adapter: string | undefined;
  promptTokens: number;
  outputTokens: number;
  /**
   * Ids of the parts of the prompt that other requests may share, in order; the last part of a prompt
   * is not among them, since it belongs to the request or its session.
   */
  sharedPromptParts: string[];
  /** Id of the last event that the caller has received; set only if it resumes a stream. */
  resumeAfter: string | undefined;
  /** Id of the request that brought the first event of the stream that this one resumes. */
  resumedRequest: string | undefined;
  body: Buffer;
  /**
   * Set if another VM forwards the request because it reaches no upstream; `attempts` is the number of
   * upstreams that may still run it.
   */
  forwarded?: { attempts: number };
}

export default CallerRequest;
