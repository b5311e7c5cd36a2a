import type createPool from './createPool';

/** The state machine that decides for the engines of one pool. */
type Pool = ReturnType<typeof createPool>;

export default Pool;
