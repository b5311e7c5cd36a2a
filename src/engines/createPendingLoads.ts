import type Log from '../events/Log';
import type Clock from '../shared/Clock';
import chooseLoadTarget from './chooseLoadTarget';
import type LoadTarget from './LoadTarget';

/** Without the adapter after this long, another engine is asked. */
const ASK_TIMEOUT_MS = 900;
/** Engines asked for one adapter before its requests are refused. */
const MAX_ASKED = 3;

interface Ask {
  model: string;
  adapter: string;
  key: string;
  version: number;
  urgency: number;
}

interface PendingLoadsHost extends Clock {
  /** Engines with the model that can load it, in the state known now. */
  getLoadTargets(now: number, ask: Ask): LoadTarget[];
  /** Asks the owner of an engine; answers false where it can't be reached. */
  sendRequest(engine: string, ask: Ask, waitMs: number): boolean;
  isServable(now: number, ask: Ask): boolean;
  log: Log;
}

interface Pending {
  ask: Ask;
  engine: string | undefined;
  asked: Set<string>;
  waiters: Set<(isLoaded: boolean) => void>;
  cancelTimer: () => void;
}

/** Sees to it that an adapter is loaded somewhere; equal asks wait together. */
export default function createPendingLoads(host: PendingLoadsHost) {
  const pendings = new Map<string, Pending>();

  /** Asks for an adapter; `waiter` hears once whether it can serve. The answer ends the wait. */
  function request(ask: Ask, waiter: (isLoaded: boolean) => void): () => void {
    const known = pendings.get(ask.key);
    if (known && known.ask.version >= ask.version) {
      known.waiters.add(waiter);
      return () => known.waiters.delete(waiter);
    }
    known?.cancelTimer();
    const pending: Pending = {
      ask,
      engine: undefined,
      asked: new Set(),
      waiters: new Set([...(known?.waiters ?? []), waiter]),
      cancelTimer: () => {},
    };
    pendings.set(ask.key, pending);
    askNext(pending);
    return () => pending.waiters.delete(waiter);
  }

  function askNext(pending: Pending): void {
    pending.cancelTimer();
    const now = host.now();
    const { ask, asked } = pending;
    const homes = host.getLoadTargets(now, ask).filter((home) => !asked.has(home.id));
    const home = asked.size < MAX_ASKED ? chooseLoadTarget(ask.key, homes) : undefined;
    if (!home) {
      end(pending, false);
      return;
    }
    asked.add(home.id);
    Object.assign(pending, { engine: home.id });
    const isSent = host.sendRequest(home.id, ask, ASK_TIMEOUT_MS);
    host.log('loadWanted', {
      adapter: ask.key,
      version: ask.version,
      engine: home.id,
      pending: home.pending,
      inFlight: home.inFlight,
      waiters: pending.waiters.size,
      tries: asked.size,
      sent: isSent,
    });
    Object.assign(pending, {
      cancelTimer: host.setTimer(isSent ? ASK_TIMEOUT_MS : 0, () => askNext(pending)),
    });
  }

  function end(pending: Pending, isLoaded: boolean): void {
    pending.cancelTimer();
    if (pendings.get(pending.ask.key) === pending) {
      pendings.delete(pending.ask.key);
    }
    pending.waiters.forEach((waiter) => waiter(isLoaded));
  }

  /** Looks again at what is wanted, after an engine's state has changed. */
  function resolveServable(): void {
    const now = host.now();
    pendings.forEach((pending) => {
      if (host.isServable(now, pending.ask)) {
        end(pending, true);
      }
    });
  }

  /** The owner of an engine can't load an adapter now. */
  function retryElsewhere(engine: string, key: string): void {
    const pending = pendings.get(key);
    if (pending?.engine === engine) {
      askNext(pending);
    }
  }

  return { request, resolveServable, retryElsewhere, getPendingCount: () => pendings.size };
}
