import type Log from '../events/Log';
import type Clock from '../shared/Clock';
import chooseLoadTarget from './chooseLoadTarget';
import type LoadTarget from './LoadTarget';

/**
 * Time beyond the wait for an adapter slot after which an adapter that is not resident yet is
 * requested from another engine: more than that of a load, also while many are in progress.
 */
const LOAD_TIMEOUT_MS = 600;
/** Interval at which a VM that has just started looks again for an engine that can load. */
const TARGET_CHECK_MS = 50;
/** Engines that are tried for one adapter before its requests are refused. */
const MAX_ENGINES_TRIED = 3;

interface WantedAdapter {
  model: string;
  adapter: string;
  key: string;
  version: number;
  urgency: number;
  /** Time for which the load may wait for an adapter slot, in milliseconds. */
  slotWaitMs: number;
  /** Software version that the engine must have; undefined if any will do. */
  softwareVersion?: string;
}

interface PendingLoadsHost extends Clock {
  /** Returns the engines that serve the model and can load the adapter. */
  getLoadTargets(now: number, wanted: WantedAdapter): LoadTarget[];
  /** Returns whether engines are about to be known of which this VM does not know yet if they can load. */
  isTargetExpected(now: number, wanted: WantedAdapter): boolean;
  /** Requests the load from the owner of an engine; returns false if it can't be reached. */
  sendRequest(engine: string, wanted: WantedAdapter, waitMs: number): boolean;
  isServable(now: number, wanted: WantedAdapter): boolean;
  log: Log;
}

interface PendingLoad {
  wanted: WantedAdapter;
  /** Engine from which the load is requested at present. */
  engine: string | undefined;
  triedEngines: Set<string>;
  /** Time until which the load waits for an engine to be known that can load. */
  targetsUntil: number;
  waiters: Set<(isLoaded: boolean) => void>;
  cancelTimer: () => void;
}

/**
 * Requests loads of the adapters that requests on this VM wait for. Requests for the same adapter
 * share one load.
 */
export default function createPendingLoads(host: PendingLoadsHost) {
  const pendingLoads = new Map<string, PendingLoad>();

  /**
   * Requests an adapter. Calls `waiter` once with whether an engine can serve it. Returns a
   * function that cancels the wait.
   */
  function request(wanted: WantedAdapter, waiter: (isLoaded: boolean) => void): () => void {
    const existing = pendingLoads.get(getLoadKey(wanted));
    if (existing && existing.wanted.version >= wanted.version) {
      existing.waiters.add(waiter);
      return () => existing.waiters.delete(waiter);
    }
    existing?.cancelTimer();
    const pending: PendingLoad = {
      wanted,
      engine: undefined,
      triedEngines: new Set(),
      targetsUntil: host.now() + wanted.slotWaitMs,
      waiters: new Set([...(existing?.waiters ?? []), waiter]),
      cancelTimer: () => {},
    };
    pendingLoads.set(getLoadKey(wanted), pending);
    requestFromNextEngine(pending);
    return () => pending.waiters.delete(waiter);
  }

  function requestFromNextEngine(pending: PendingLoad): void {
    pending.cancelTimer();
    const now = host.now();
    const { wanted, triedEngines } = pending;
    const targets = host
      .getLoadTargets(now, wanted)
      .filter((target) => !triedEngines.has(target.id));
    const target =
      triedEngines.size < MAX_ENGINES_TRIED ? chooseLoadTarget(wanted.key, targets) : undefined;
    if (!target) {
      waitForTarget(now, pending);
      return;
    }
    triedEngines.add(target.id);
    Object.assign(pending, { engine: target.id });
    const isSent = host.sendRequest(target.id, wanted, wanted.slotWaitMs);
    host.log('loadWanted', {
      adapter: wanted.key,
      version: wanted.version,
      engine: target.id,
      pending: target.pending,
      inFlight: target.inFlight,
      waiters: pending.waiters.size,
      tries: triedEngines.size,
      sent: isSent,
    });
    Object.assign(pending, {
      cancelTimer: host.setTimer(isSent ? wanted.slotWaitMs + LOAD_TIMEOUT_MS : 0, () =>
        requestFromNextEngine(pending),
      ),
    });
  }

  /**
   * Looks again soon if this VM has started too recently to know which engines can load; else ends the
   * load. After a start of all VMs, the first requests would be refused before any owner is known.
   */
  function waitForTarget(now: number, pending: PendingLoad): void {
    const { wanted, triedEngines, targetsUntil } = pending;
    if (triedEngines.size > 0 || now >= targetsUntil || !host.isTargetExpected(now, wanted)) {
      complete(pending, false);
      return;
    }
    Object.assign(pending, {
      cancelTimer: host.setTimer(TARGET_CHECK_MS, () => requestFromNextEngine(pending)),
    });
  }

  function complete(pending: PendingLoad, isLoaded: boolean): void {
    pending.cancelTimer();
    const loadKey = getLoadKey(pending.wanted);
    if (pendingLoads.get(loadKey) === pending) {
      pendingLoads.delete(loadKey);
    }
    pending.waiters.forEach((waiter) => waiter(isLoaded));
  }

  /** Completes the loads whose adapter can be served after a change of an engine's state. */
  function resolveServable(): void {
    const now = host.now();
    pendingLoads.forEach((pending) => {
      if (host.isServable(now, pending.wanted)) {
        complete(pending, true);
      }
    });
  }

  /** Requests an adapter from another engine after an engine's owner has refused the load. */
  function retryElsewhere(engine: string, key: string): void {
    [...pendingLoads.values()]
      .filter((pending) => pending.wanted.key === key && pending.engine === engine)
      .forEach(requestFromNextEngine);
  }

  /** Requests adapters from other engines than one that leaves. */
  function leaveEngine(engine: string): void {
    [...pendingLoads.values()]
      .filter((pending) => pending.engine === engine)
      .forEach(requestFromNextEngine);
  }

  return {
    request,
    resolveServable,
    leaveEngine,
    retryElsewhere,
    getPendingCount: () => pendingLoads.size,
  };
}

function getLoadKey({ key, softwareVersion }: WantedAdapter): string {
  return JSON.stringify([key, softwareVersion]);
}
