import { encode } from 'cbor-x';

const LENGTH_BYTES = 4;

/** Returns a value as a length-prefixed CBOR frame. */
export default function encodeFrame(value: unknown): Buffer {
  const payload = encode(value);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  payload.copy(frame, LENGTH_BYTES);
  return frame;
}
