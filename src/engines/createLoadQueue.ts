import getAdapterKey from './getAdapterKey';
import createLoadRequest from './createLoadRequest';
import type LoadRequest from './LoadRequest';

type RequestedLoad = Parameters<typeof createLoadRequest>[1];

/** Holds the loads that wait to be sent to one engine; requests for the same adapter are merged. */
export default function createLoadQueue() {
  let requests: LoadRequest[] = [];

  function add(now: number, request: RequestedLoad, requester: string): void {
    const key = getAdapterKey(request.model, request.adapter);
    const queued = requests.find((other) => other.key === key);
    if (queued) {
      queued.requesters.add(requester);
      queued.urgency = Math.min(queued.urgency, request.urgency);
      queued.expiresAt = Math.max(queued.expiresAt, request.expiresAt);
      queued.version = Math.max(queued.version, request.version);
      return;
    }
    const position = requests.filter(({ urgency }) => urgency <= request.urgency).length;
    requests.push(createLoadRequest(now, request, requester, position));
  }

  function remove(request: LoadRequest): void {
    requests = requests.filter((other) => other !== request);
  }

  /** Removes and returns all requests. */
  function takeAll(): LoadRequest[] {
    const taken = requests;
    requests = [];
    return taken;
  }

  return {
    add,
    remove,
    takeAll,
    /** Adds a request again whose command was not executed. */
    restore: (request: LoadRequest) => {
      requests.push(request);
    },
    getAll: (): readonly LoadRequest[] => requests,
  };
}
