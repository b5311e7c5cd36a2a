import { encode } from 'cbor-x';
import packFrame from './packFrame';

/** Returns a value as a length-prefixed CBOR frame. */
export default function encodeFrame(value: unknown): Buffer {
  return packFrame(encode(value), false);
}
