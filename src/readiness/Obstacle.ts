/** A reason not to send a new request to an upstream now. */
interface Obstacle {
  /**
   * `leaving`: it serves no new requests until it has restarted. `limited`: no permit can be had.
   * `suspended`: this VM's requests to it have failed. `unreachable`: it does not respond to its
   * owner.
   */
  kind: 'leaving' | 'limited' | 'suspended' | 'unreachable';
  /** Whether no request is sent at all; otherwise, requests are sent if no other upstream is left. */
  isBinding: boolean;
}

export default Obstacle;
