/** A completion request to an engine. */
interface CompletionRequest {
  id: string;
  /** Name of the adapter at the engine. */
  name: string;
  path: '/v1/chat/completions' | '/v1/completions';
  /** The caller's body; the client sets the fields model, stream, priority and resume. */
  body: Record<string, unknown>;
  priority: number;
  /** Number and text of the tokens already received; set if a stream is resumed. */
  resume: { offset: number; text: string } | undefined;
}

export default CompletionRequest;
