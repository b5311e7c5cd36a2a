const LENGTH_BYTES = 4;

/**
 * Returns a function that splits a byte stream into frames of a 4-byte big-endian length and a
 * payload. It returns false, from then on, once a frame's length exceeds `maxFrameBytes`.
 */
export default function createFrameReader(
  maxFrameBytes: number,
  onFrame: (payload: Buffer) => void,
): (chunk: Buffer) => boolean {
  let chunks: Buffer[] = [];
  let bufferedBytes = 0;
  let isFailed = false;

  return function readChunk(chunk: Buffer): boolean {
    if (isFailed) {
      return false;
    }
    chunks.push(chunk);
    bufferedBytes += chunk.length;
    while (bufferedBytes >= LENGTH_BYTES) {
      const joined = chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
      chunks = [joined];
      const length = joined.readUInt32BE(0);
      if (length > maxFrameBytes) {
        isFailed = true;
        return false;
      }
      if (bufferedBytes < LENGTH_BYTES + length) {
        return true;
      }
      chunks = [joined.subarray(LENGTH_BYTES + length)];
      bufferedBytes -= LENGTH_BYTES + length;
      onFrame(joined.subarray(LENGTH_BYTES, LENGTH_BYTES + length));
    }
    return true;
  };
}
