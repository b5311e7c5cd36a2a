import type createPool from './createPool';

/** State machine that grants requests and chooses loads and evictions for one pool of engines. */
type Pool = ReturnType<typeof createPool>;

export default Pool;
