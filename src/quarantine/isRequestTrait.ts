import REQUEST_TRAIT_PREFIX from './REQUEST_TRAIT_PREFIX';

/** Returns whether a trait stands for a request as a whole. */
export default function isRequestTrait(trait: string): boolean {
  return trait.startsWith(REQUEST_TRAIT_PREFIX);
}
