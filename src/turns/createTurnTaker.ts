import type Time from '../shared/Time';
import type TurnAsk from './TurnAsk';

/** Two round trips between data centres; without an answer the owner is gone or cut off. */
const ANSWER_TIMEOUT_MS = 60;

interface TurnTakerHost extends Time {
  /** Asks the VM that gives the turns of an engine; false where there is none. */
  ask(engine: string, asked: TurnAsk, waitMs: number): boolean;
}

interface Pending {
  isQueued: boolean;
  end: (isGranted: boolean) => void;
}

/**
 * Takes turns at engines for this VM's requests. A turn only spreads load: a request whose turn
 * does not come in time goes without.
 */
export default function createTurnTaker(host: TurnTakerHost) {
  const pendings = new Map<string, Pending>();

  /** Waits for a turn, at most `waitMs`; answers whether it came. */
  function take(engine: string, asked: TurnAsk, waitMs: number): Promise<boolean> {
    return new Promise((resolve) => {
      let cancelTimer = () => {};
      const end = (isGranted: boolean) => {
        cancelTimer();
        pendings.delete(asked.id);
        resolve(isGranted);
      };
      const pending: Pending = { isQueued: false, end };
      pendings.set(asked.id, pending);
      if (!host.ask(engine, asked, waitMs)) {
        end(false);
        return;
      }
      if (pendings.get(asked.id) !== pending) {
        return;
      }
      const onQuiet = () => {
        if (pending.isQueued && waitMs > ANSWER_TIMEOUT_MS) {
          cancelTimer = host.setTimer(waitMs - ANSWER_TIMEOUT_MS, () => end(false));
        } else {
          end(false);
        }
      };
      cancelTimer = host.setTimer(Math.min(waitMs, ANSWER_TIMEOUT_MS), onQuiet);
    });
  }

  /** Takes the owner's word on a request: granted, or in line. */
  function receive(id: string, isGranted: boolean): void {
    const pending = pendings.get(id);
    if (!pending) {
      return;
    }
    if (isGranted) {
      pending.end(true);
    } else {
      pending.isQueued = true;
    }
  }

  /** Gives up the wait of a request whose caller has left. */
  function leave(id: string): void {
    pendings.get(id)?.end(false);
  }

  return { take, receive, leave };
}
