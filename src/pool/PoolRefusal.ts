/** Reason why a pool refuses a request. */
type PoolRefusal = 'noCapacity' | 'deadline' | 'queueFull' | 'loadFailed';

export default PoolRefusal;
