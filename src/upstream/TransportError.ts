/** `notSent`: no byte of the request was sent. `lost`: the upstream may have run the request. */
type TransportError = { kind: 'notSent'; reason: string } | { kind: 'lost'; reason: string };

export default TransportError;
