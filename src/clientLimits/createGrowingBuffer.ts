/** Smallest buffer of a body whose length is not known. */
const MIN_CAPACITY = 16 * 1024;

/** Creates a buffer that doubles as it fills; many small chunks then take no object each. */
export default function createGrowingBuffer(options: { maxBytes: number }) {
  let buffer = Buffer.alloc(0);
  let size = 0;

  return {
    /** Appends a chunk; the caller checks that it fits into `maxBytes`. */
    append(chunk: Buffer): void {
      const needed = size + chunk.length;
      if (needed > buffer.length) {
        const capacity = Math.max(needed, MIN_CAPACITY, buffer.length * 2);
        const grown = Buffer.allocUnsafe(Math.max(needed, Math.min(capacity, options.maxBytes)));
        buffer.copy(grown, 0, 0, size);
        buffer = grown;
      }
      chunk.copy(buffer, size);
      size = needed;
    },
    clear(): void {
      buffer = Buffer.alloc(0);
      size = 0;
    },
    getSize: () => size,
    getCapacity: () => buffer.length,
    getContent: () => buffer.subarray(0, size),
  };
}
