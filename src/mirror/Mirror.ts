import type createMirror from './createMirror';

/** A VM's in-memory copy of the key-value service. */
type Mirror = ReturnType<typeof createMirror>;

export default Mirror;
