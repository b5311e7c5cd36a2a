/** A request for permission to prefill a prompt on an engine. */
interface PrefillRequest {
  id: string;
  /** Adapter or model that the request uses; see `getAdapterKey`. */
  key?: string;
  /** Name of the organisation; undefined if callers need no key. */
  organisation?: string;
  /** Number of tokens of the prompt. */
  tokens: number;
  /** 0 is the most urgent. */
  urgency: number;
  /** Longest wait in milliseconds with which the request still meets its objective. */
  onTimeMs: number;
  /** Longest pause in milliseconds that its route allows between two events of a stream. */
  pauseMs: number;
}

export default PrefillRequest;
