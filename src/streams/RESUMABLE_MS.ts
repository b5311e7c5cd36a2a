/** Time after its begin for which a stream may still be resumed; above the time limits of callers. */
const RESUMABLE_MS = 30_000;

export default RESUMABLE_MS;
