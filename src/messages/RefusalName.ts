import type refusals from './refusals';

/** Key of a refusal in the catalogue. */
type RefusalName = keyof typeof refusals;

export default RefusalName;
