import frameFormat from './frameFormat';

const { LENGTH_BYTES, COMPRESSED_FLAG } = frameFormat;

/** Returns a frame with a payload, which is compressed if `isCompressed` is set. */
export default function packFrame(payload: Buffer, isCompressed: boolean): Buffer {
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + payload.length);
  frame.writeUInt32BE(payload.length + (isCompressed ? COMPRESSED_FLAG : 0), 0);
  payload.copy(frame, LENGTH_BYTES);
  return frame;
}
