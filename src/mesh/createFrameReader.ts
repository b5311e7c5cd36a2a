import frameFormat from './frameFormat';

const { LENGTH_BYTES, COMPRESSED_FLAG } = frameFormat;
const MIN_CAPACITY = 1024;

/**
 * Returns a function that splits a byte stream into frames. It returns false, from then on, once a
 * frame's length exceeds `maxFrameBytes`. An incomplete frame is kept in one buffer that grows
 * with the bytes received.
 */
export default function createFrameReader(
  maxFrameBytes: number | (() => number),
  onFrame: (payload: Buffer, isCompressed: boolean) => void,
): (chunk: Buffer) => boolean {
  let partial = Buffer.alloc(0);
  let partialBytes = 0;
  let isFailed = false;

  /** Appends to the incomplete frame. */
  function keep(chunk: Buffer): void {
    const needed = partialBytes + chunk.length;
    if (needed > partial.length) {
      const grown = Buffer.allocUnsafe(Math.max(needed, MIN_CAPACITY, partial.length * 2));
      partial.copy(grown, 0, 0, partialBytes);
      partial = grown;
    }
    chunk.copy(partial, partialBytes);
    partialBytes = needed;
  }

  /** Passes on the complete frames of `bytes`; returns how many bytes they take. */
  function readFrames(bytes: Buffer): number {
    let offset = 0;
    while (bytes.length - offset >= LENGTH_BYTES) {
      const prefix = bytes.readUInt32BE(offset);
      const isCompressed = prefix >= COMPRESSED_FLAG;
      const length = isCompressed ? prefix - COMPRESSED_FLAG : prefix;
      if (length > (typeof maxFrameBytes === 'number' ? maxFrameBytes : maxFrameBytes())) {
        isFailed = true;
        return offset;
      }
      const end = offset + LENGTH_BYTES + length;
      if (end > bytes.length) {
        return offset;
      }
      onFrame(bytes.subarray(offset + LENGTH_BYTES, end), isCompressed);
      offset = end;
    }
    return offset;
  }

  return function readChunk(chunk: Buffer): boolean {
    if (isFailed) {
      return false;
    }
    if (partialBytes > 0) {
      keep(chunk);
    }
    const bytes = partialBytes > 0 ? partial.subarray(0, partialBytes) : chunk;
    const readBytes = readFrames(bytes);
    if (partialBytes === 0 || readBytes > 0) {
      // A new buffer, since the frames passed on are parts of the previous one.
      partial = Buffer.alloc(0);
      partialBytes = 0;
      if (readBytes < bytes.length && !isFailed) {
        keep(bytes.subarray(readBytes));
      }
    }
    return !isFailed;
  };
}
