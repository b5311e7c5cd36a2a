/** Values sent to an upstream in addition to the caller's own request. */
interface AttemptOptions {
  /** Time left until the response is due. */
  deadlineMs: number;
  /** Id of the upstream; a process with another id must refuse the request (status 421). */
  upstream: string;
  /** Version of the adapter (or model) that must serve the request. */
  version: number | undefined;
  /** From 0 (the most urgent) to 9. */
  urgency: number | undefined;
  /** Id of the last event that the caller has received; the stream resumes after it. */
  resumeAfter: string | undefined;
}

export default AttemptOptions;
