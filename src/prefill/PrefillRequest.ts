/** A request whose prompt is to be read by an engine. */
interface PrefillRequest {
  id: string;
  /** Tokens of its prompt. */
  tokens: number;
  /** 0 is the most urgent. */
  urgency: number;
  /** Time for which it may wait and still be on time. */
  onTimeMs: number;
  /** Longest pause between two events that its route allows. */
  pauseMs: number;
}

export default PrefillRequest;
