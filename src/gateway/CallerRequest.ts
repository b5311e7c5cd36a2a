/** A caller's request, read whole. */
interface CallerRequest {
  /** The caller's id of this attempt; answers of upstreams repeat it. */
  id: string;
  method: string;
  /** Path and query as the caller sent them. */
  path: string;
  host: string;
  /** Headers that go on to the upstream unchanged. */
  headers: [string, string][];
  /** How long the caller waits; undefined where it does not say. */
  deadlineMs: number | undefined;
  model: string | undefined;
  adapter: string | undefined;
  promptTokens: number;
  outputTokens: number;
  /** Last event that the caller has; set where it resumes a stream. */
  resumeAfter: string | undefined;
  body: Buffer;
}

export default CallerRequest;
