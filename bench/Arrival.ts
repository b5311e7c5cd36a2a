import type PoolRequest from '../src/pool/PoolRequest';

/** One request that a workload brings. */
type Arrival = PoolRequest;

export default Arrival;
