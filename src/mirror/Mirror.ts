import type createMirror from './createMirror';

/** The copy of the key-value service that a VM holds in memory. */
type Mirror = ReturnType<typeof createMirror>;

export default Mirror;
