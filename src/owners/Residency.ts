import type createResidency from './createResidency';

/** The adapters announced for each pool, and the pins of this VM's requests on them. */
type Residency = ReturnType<typeof createResidency>;

export default Residency;
