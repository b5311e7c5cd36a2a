/** A completion as it is sent to an engine. */
interface CompletionRequest {
  id: string;
  /** The engine's name of the adapter. */
  name: string;
  path: '/v1/chat/completions' | '/v1/completions';
  /** The caller's body; model, stream and resume fields are set by the client. */
  body: Record<string, unknown>;
  priority: number;
  /** Tokens that have arrived, and their text, when a stream is resumed. */
  resume: { offset: number; text: string } | undefined;
}

export default CompletionRequest;
