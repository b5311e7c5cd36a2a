import type createKeyValueStore from './createKeyValueStore';

/** State of the stand-in for the key-value service. */
type KeyValueStore = ReturnType<typeof createKeyValueStore>;

export default KeyValueStore;
