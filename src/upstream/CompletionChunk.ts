/** One part of a streamed completion. `offset` is the number of tokens before it. */
interface CompletionChunk {
  /** Id of the request that the chunk belongs to, as stated by the engine. */
  id: string;
  /** Name, at the engine, of the adapter that produced the chunk. */
  model: string;
  offset: number;
  /** Tokens in this chunk. */
  count: number;
  text: string;
  finish: 'stop' | 'length' | undefined;
}

export default CompletionChunk;
