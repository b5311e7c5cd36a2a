import type refusals from './refusals';

/** The name by which code refers to a refusal of the catalogue. */
type RefusalName = keyof typeof refusals;

export default RefusalName;
