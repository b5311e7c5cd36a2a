const LENGTH_BYTES = 4;

/**
 * Splits a byte stream into frames of a 4-byte big-endian length and a payload. Answers false,
 * for good, once a frame announces more than the limit.
 */
export default function createFrameReader(
  maxFrameBytes: number,
  onFrame: (payload: Buffer) => void,
): (chunk: Buffer) => boolean {
  let parts: Buffer[] = [];
  let buffered = 0;
  let failed = false;

  return function take(chunk: Buffer): boolean {
    if (failed) {
      return false;
    }
    parts.push(chunk);
    buffered += chunk.length;
    while (buffered >= LENGTH_BYTES) {
      const joined = parts.length === 1 ? parts[0] : Buffer.concat(parts);
      parts = [joined];
      const length = joined.readUInt32BE(0);
      if (length > maxFrameBytes) {
        failed = true;
        return false;
      }
      if (buffered < LENGTH_BYTES + length) {
        return true;
      }
      parts = [joined.subarray(LENGTH_BYTES + length)];
      buffered -= LENGTH_BYTES + length;
      onFrame(joined.subarray(LENGTH_BYTES, LENGTH_BYTES + length));
    }
    return true;
  };
}
