import type Clock from '../shared/Clock';
import type PrefillRequest from './PrefillRequest';
import type PrefillState from './PrefillState';

/** Two round trips between data centres; an owner without a reply is unreachable. */
const REPLY_TIMEOUT_MS = 60;

interface PrefillClientHost extends Clock {
  /** Sends a prefill request to the owner of an engine; returns false if it can't be reached. */
  sendRequest(engine: string, prefillRequest: PrefillRequest, waitMs: number): boolean;
}

/** Whether a request may be sent to the engine; `unknown` if the owner did not reply. */
type PrefillOutcome = 'granted' | 'refused' | 'unknown';

interface PendingRequest {
  engine: string;
  isQueued: boolean;
  end: (outcome: PrefillOutcome) => void;
}

/**
 * Requests prefill permissions from the owners of engines for this VM's requests. Permissions only
 * spread load: if the owner does not reply, the request is sent without one. A request that is
 * queued and gets no permission in time must not be sent.
 */
export default function createPrefillClient(host: PrefillClientHost) {
  const pendingRequests = new Map<string, PendingRequest>();

  /** Requests permission to prefill and waits for it, at most `waitMs`. */
  function request(
    engine: string,
    prefillRequest: PrefillRequest,
    waitMs: number,
  ): Promise<PrefillOutcome> {
    return new Promise((resolve) => {
      let cancelTimer = () => {};
      const end = (outcome: PrefillOutcome) => {
        cancelTimer();
        pendingRequests.delete(prefillRequest.id);
        resolve(outcome);
      };
      const pending: PendingRequest = { engine, isQueued: false, end };
      pendingRequests.set(prefillRequest.id, pending);
      if (!host.sendRequest(engine, prefillRequest, waitMs)) {
        end('unknown');
        return;
      }
      if (pendingRequests.get(prefillRequest.id) !== pending) {
        return;
      }
      const onTimeout = () => {
        if (pending.isQueued && waitMs > REPLY_TIMEOUT_MS) {
          cancelTimer = host.setTimer(waitMs - REPLY_TIMEOUT_MS, () => end('refused'));
        } else {
          end(pending.isQueued ? 'refused' : 'unknown');
        }
      };
      cancelTimer = host.setTimer(Math.min(waitMs, REPLY_TIMEOUT_MS), onTimeout);
    });
  }

  /** Handles the owner's reply to a request. */
  function handleReply(id: string, state: PrefillState): void {
    const pending = pendingRequests.get(id);
    if (!pending) {
      return;
    }
    if (state === 'queued') {
      pending.isQueued = true;
    } else {
      pending.end(state);
    }
  }

  /** Ends the wait of a request whose caller has disconnected. */
  function cancel(id: string): void {
    pendingRequests.get(id)?.end('unknown');
  }

  /** Ends all waits for an engine, which takes no more requests. */
  function refuseAll(engine: string): void {
    [...pendingRequests.values()]
      .filter((pending) => pending.engine === engine)
      .forEach((pending) => pending.end('refused'));
  }

  return { request, handleReply, cancel, refuseAll };
}
