/** Why a pool gives a request no place. */
type PoolRefusal = 'noCapacity' | 'deadline' | 'queueFull' | 'loadFailed';

export default PoolRefusal;
