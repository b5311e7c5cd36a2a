import { deflateRawSync } from 'node:zlib';
import frameFormat from './frameFormat';
import packFrame from './packFrame';

/** A smaller frame fits into one packet as it is. */
const MIN_COMPRESSED_BYTES = 1024;
/** The fastest level: names of engines and adapters repeat, so that it already finds most of them. */
const LEVEL = 1;

/** Returns an uncompressed frame in compressed form, or unchanged if it is small. */
export default function compressFrame(frame: Buffer): Buffer {
  if (frame.length < MIN_COMPRESSED_BYTES) {
    return frame;
  }
  const payload = frame.subarray(frameFormat.LENGTH_BYTES);
  // eslint-disable-next-line n/no-sync -- some tens of microseconds, and frames stay in order
  return packFrame(deflateRawSync(payload, { level: LEVEL }), true);
}
