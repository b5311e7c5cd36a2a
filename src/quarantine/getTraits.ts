import type CallerRequest from '../gateway/CallerRequest';
import getPartTrait from './getPartTrait';
import getRequestTrait from './getRequestTrait';

/**
 * Returns what a request has in common with others, any of which can be what crashes upstreams: the
 * shared parts of its prompt in order, then the request as a whole.
 */
export default function getTraits(request: CallerRequest): string[] {
  return [...request.sharedPromptParts.map(getPartTrait), getRequestTrait(request)];
}
