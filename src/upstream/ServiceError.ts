/** Failure of a call to a plain service. `notSent`: it has not run. `lost`: it may have run. */
type ServiceError = { kind: 'notSent'; reason: string } | { kind: 'lost'; reason: string };

export default ServiceError;
