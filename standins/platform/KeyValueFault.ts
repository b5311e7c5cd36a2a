/**
 * Fault of the key-value service: `down` refuses calls, `silent` sends no response, `slow` adds
 * 400 ms, `lost` applies transactions without a response, `late` also applies them later.
 */
type KeyValueFault = 'none' | 'down' | 'silent' | 'slow' | 'lost' | 'late';

export default KeyValueFault;
