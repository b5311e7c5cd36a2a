/**
 * A frame is a 4-byte big-endian number and a payload. The highest bit of the number states whether
 * the payload is compressed (raw deflate), the other bits are the length of the payload.
 */
const frameFormat = { LENGTH_BYTES: 4, COMPRESSED_FLAG: 0x80000000 };

export default frameFormat;
