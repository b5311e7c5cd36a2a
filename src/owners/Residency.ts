import type createResidency from './createResidency';

/** What this VM knows of the pools and holds of them. */
type Residency = ReturnType<typeof createResidency>;

export default Residency;
