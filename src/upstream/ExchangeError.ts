/** `notSent`: no byte of the request has left. `lost`: it may have been run. */
type ExchangeError = { kind: 'notSent'; reason: string } | { kind: 'lost'; reason: string };

export default ExchangeError;
