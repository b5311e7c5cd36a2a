/**
 * How a relay treats bytes: `cut` ends connections and refuses new ones, `silent` passes nothing
 * on (connections made meanwhile stay so), `noAnswers` swallows one way, `slow` delays.
 */
type RelayMode = 'open' | 'cut' | 'silent' | 'noAnswers' | 'slow';

export default RelayMode;
