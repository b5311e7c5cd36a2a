/** Decision on a permit to send one request to an upstream that states a limit. */
interface PermitReply {
  isGranted: boolean;
  /** Time after which the VM may ask again, in milliseconds; 0 if granted. */
  waitMs: number;
  /** Time between two permits of a VM if the limit is shared evenly, in milliseconds. */
  intervalMs: number;
}

export default PermitReply;
