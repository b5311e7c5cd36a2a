/**
 * How the use of a slot ended. `done`: with a response. `failed`: with an error response. `unsent`:
 * nothing was sent. `unreachable`: no connection. `full`: the upstream rejected the request for lack
 * of a slot. `lost`: the connection was lost. `aborted`: this side gave up, and the upstream may
 * still run the request.
 */
type SlotOutcome = 'done' | 'failed' | 'unsent' | 'unreachable' | 'full' | 'lost' | 'aborted';

export default SlotOutcome;
