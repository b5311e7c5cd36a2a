import type PoolRequest from '../src/pool/PoolRequest';

/** Request of a workload, with its arrival time. */
type Arrival = PoolRequest;

export default Arrival;
