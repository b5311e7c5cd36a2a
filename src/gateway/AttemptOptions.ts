/** What an upstream is told beside the caller's own request. */
interface AttemptOptions {
  /** Time left for the answer. */
  deadlineMs: number;
  /** Only the upstream with this id may run the request. */
  upstream: string;
  /** Version of the adapter (or model) that must answer. */
  version: number | undefined;
  /** From 0, the most urgent, to 9. */
  urgency: number | undefined;
  /** Last event that the caller already has. */
  resumeAfter: string | undefined;
}

export default AttemptOptions;
