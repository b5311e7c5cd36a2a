/** Answer to a request that asks for its turn; a refused one would wait for too long. */
type PrefillState = 'granted' | 'queued' | 'refused';

export default PrefillState;
