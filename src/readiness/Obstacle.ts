/** A reason not to send a new request to an upstream now. */
interface Obstacle {
  /**
   * `leaving`: it serves no new requests until it has restarted. `resting`: it wants none of this VM
   * for some time. `limited`: no permit can be had. `full`: no place can be had. `suspended`: this VM's requests to it have failed. `unreachable`: it does not respond to its
   * owner.
   */
  kind: 'leaving' | 'resting' | 'limited' | 'full' | 'suspended' | 'unreachable';
  /** Whether no request is sent at all; otherwise, requests are sent if no other upstream is left. */
  isBinding: boolean;
  /** Time until it ends, in milliseconds, if it ends by itself at a known time. */
  endsInMs?: number;
}

export default Obstacle;
