/** Failures of a plain service. Only with `notSent` it is certain that nothing ran. */
type ServiceError = { kind: 'notSent'; reason: string } | { kind: 'lost'; reason: string };

export default ServiceError;
