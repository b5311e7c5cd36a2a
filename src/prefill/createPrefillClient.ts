import type Clock from '../shared/Clock';
import type PrefillRequest from './PrefillRequest';
import type PrefillState from './PrefillState';

/** Two round trips between data centres; without an answer the owner is gone or cut off. */
const ANSWER_TIMEOUT_MS = 60;

interface PrefillClientHost extends Clock {
  /** Asks the VM that gives the turns of an engine; false where there is none. */
  sendRequest(engine: string, asked: PrefillRequest, waitMs: number): boolean;
}

/** Whether a request may be sent: `unknown` where the owner did not answer. */
type Answer = 'granted' | 'refused' | 'unknown';

interface Pending {
  isQueued: boolean;
  end: (answer: Answer) => void;
}

/**
 * Takes turns at engines for this VM's requests. A turn only spreads load: without a word of the
 * owner a request goes without. One whose turn does not come in time is not to be sent.
 */
export default function createPrefillClient(host: PrefillClientHost) {
  const pendings = new Map<string, Pending>();

  /** Waits for a turn, at most `waitMs`. */
  function request(engine: string, asked: PrefillRequest, waitMs: number): Promise<Answer> {
    return new Promise((resolve) => {
      let cancelTimer = () => {};
      const end = (answer: Answer) => {
        cancelTimer();
        pendings.delete(asked.id);
        resolve(answer);
      };
      const pending: Pending = { isQueued: false, end };
      pendings.set(asked.id, pending);
      if (!host.sendRequest(engine, asked, waitMs)) {
        end('unknown');
        return;
      }
      if (pendings.get(asked.id) !== pending) {
        return;
      }
      const onQuiet = () => {
        if (pending.isQueued && waitMs > ANSWER_TIMEOUT_MS) {
          cancelTimer = host.setTimer(waitMs - ANSWER_TIMEOUT_MS, () => end('refused'));
        } else {
          end(pending.isQueued ? 'refused' : 'unknown');
        }
      };
      cancelTimer = host.setTimer(Math.min(waitMs, ANSWER_TIMEOUT_MS), onQuiet);
    });
  }

  /** Takes the owner's word on a request. */
  function handleReply(id: string, state: PrefillState): void {
    const pending = pendings.get(id);
    if (!pending) {
      return;
    }
    if (state === 'queued') {
      pending.isQueued = true;
    } else {
      pending.end(state);
    }
  }

  /** Gives up the wait of a request whose caller has left. */
  function cancel(id: string): void {
    pendings.get(id)?.end('unknown');
  }

  return { request, handleReply, cancel };
}
