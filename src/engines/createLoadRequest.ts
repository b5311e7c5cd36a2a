import getAdapterKey from './getAdapterKey';
import type LoadRequest from './LoadRequest';

/** Creates the request of one VM to load an adapter; `position` loads wait before it. */
export default function createLoadRequest(
  now: number,
  request: Omit<LoadRequest, 'since' | 'position' | 'requesters' | 'key'>,
  requester: string,
  position = 0,
): LoadRequest {
  return {
    ...request,
    key: getAdapterKey(request.model, request.adapter),
    since: now,
    position,
    requesters: new Set([requester]),
  };
}
