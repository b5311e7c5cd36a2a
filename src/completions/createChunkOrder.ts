import type CompletionChunk from '../upstream/CompletionChunk';

/**
 * Puts the chunks of one answer in order by their offset: early ones wait, repeated ones are
 * dropped. `finish` is answered only once every token before it has been.
 */
export default function createChunkOrder(maxEarly: number) {
  const early = new Map<number, CompletionChunk>();
  let next = 0;

  /** Returns the chunks that are due now, or undefined when too many are early. */
  function take(chunk: CompletionChunk): CompletionChunk[] | undefined {
    if (chunk.offset < next) {
      return [];
    }
    early.set(chunk.offset, chunk);
    if (early.size > maxEarly) {
      return undefined;
    }
    const due: CompletionChunk[] = [];
    let following = early.get(next);
    while (following) {
      early.delete(next);
      due.push(following);
      next += following.count;
      following = following.finish || following.count === 0 ? undefined : early.get(next);
    }
    return due;
  }

  return { take, getNext: () => next };
}
