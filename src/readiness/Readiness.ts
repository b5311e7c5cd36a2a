import type createReadiness from './createReadiness';

/** This VM's account of whether upstreams are ready for new requests. */
type Readiness = ReturnType<typeof createReadiness>;

export default Readiness;
