import type PoolAsk from '../src/pool/PoolAsk';

/** One request that a workload brings. */
type Arrival = PoolAsk;

export default Arrival;
