import frameFormat from './frameFormat';

const { LENGTH_BYTES, COMPRESSED_FLAG } = frameFormat;

/**
 * Returns a function that splits a byte stream into frames. It returns false, from then on, once a
 * frame's length exceeds `maxFrameBytes`.
 */
export default function createFrameReader(
  maxFrameBytes: number,
  onFrame: (payload: Buffer, isCompressed: boolean) => void,
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
      const prefix = joined.readUInt32BE(0);
      const isCompressed = prefix >= COMPRESSED_FLAG;
      const length = isCompressed ? prefix - COMPRESSED_FLAG : prefix;
      if (length > maxFrameBytes) {
        isFailed = true;
        return false;
      }
      if (bufferedBytes < LENGTH_BYTES + length) {
        return true;
      }
      chunks = [joined.subarray(LENGTH_BYTES + length)];
      bufferedBytes -= LENGTH_BYTES + length;
      onFrame(joined.subarray(LENGTH_BYTES, LENGTH_BYTES + length), isCompressed);
    }
    return true;
  };
}
