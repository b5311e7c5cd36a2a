/** The owner's reply to a prefill request; `refused` if the wait would be too long. */
type PrefillState = 'granted' | 'queued' | 'refused';

export default PrefillState;
