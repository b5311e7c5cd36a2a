/**
 * How a relay forwards data: `cut` closes its connections and refuses new ones; `silent` discards
 * all data (a connection opened in this mode stays silent after the mode changes); `noAnswers`
 * discards the data from the target; `slow` delays each chunk.
 */
type RelayMode = 'open' | 'cut' | 'silent' | 'noAnswers' | 'slow';

export default RelayMode;
