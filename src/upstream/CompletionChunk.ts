/** One part of a streamed answer. `offset` counts the tokens before it. */
interface CompletionChunk {
  /** The request that the engine says this belongs to. */
  id: string;
  /** The engine's name of the adapter that ran. */
  model: string;
  offset: number;
  /** Tokens in this chunk. */
  count: number;
  text: string;
  finish: 'stop' | 'length' | undefined;
}

export default CompletionChunk;
