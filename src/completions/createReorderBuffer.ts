import type CompletionChunk from '../upstream/CompletionChunk';

/**
 * Creates a buffer that puts the chunks of one response in order of their offset. Chunks that
 * arrive early are buffered, and chunks that were already returned are dropped. A chunk with
 * `finish` is returned only after all tokens before it.
 */
export default function createReorderBuffer(maxBuffered: number) {
  const buffered = new Map<number, CompletionChunk>();
  let nextOffset = 0;

  /**
   * Adds a chunk. Returns the chunks that are now in order, or undefined if more than `maxBuffered`
   * chunks are buffered.
   */
  function add(chunk: CompletionChunk): CompletionChunk[] | undefined {
    if (chunk.offset < nextOffset) {
      return [];
    }
    buffered.set(chunk.offset, chunk);
    if (buffered.size > maxBuffered) {
      return undefined;
    }
    const ready: CompletionChunk[] = [];
    let nextChunk = buffered.get(nextOffset);
    while (nextChunk) {
      buffered.delete(nextOffset);
      ready.push(nextChunk);
      nextOffset += nextChunk.count;
      nextChunk = nextChunk.finish || nextChunk.count === 0 ? undefined : buffered.get(nextOffset);
    }
    return ready;
  }

  return {
    add,
    /** Returns the number of tokens returned so far, which is the offset of the next chunk. */
    getNextOffset: () => nextOffset,
  };
}
