/**
 * What is wrong with the store: it refuses calls, answers nothing, takes 400 ms, does writes
 * without answering, or does them later.
 */
type StoreFault = 'none' | 'down' | 'silent' | 'slow' | 'lost' | 'late';

export default StoreFault;
