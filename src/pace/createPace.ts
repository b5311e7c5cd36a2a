import type Log from '../events/Log';
import type Upstream from '../upstream/Upstream';
import type PaceCause from './PaceCause';

/** Part of its slots with which an upstream begins that may be cold, or overloaded before. */
const COLD_PART = 1 / 8;
/** Part of its slots with which an upstream begins of which this VM knows nothing worse. */
const UNKNOWN_PART = 1 / 2;
/** With one request at a time, a single slow one would hold the pace back. */
const MIN_PACE = 2;
/** At this part of its slots the pace ends; from there on the load and the speed decide. */
const END_PART = 1.25;
/** The pace at most doubles in this time, about that in which the counts of all VMs are known to all. */
const DOUBLING_MS = 500;
/** Answers that take more than this multiple of the usual are slow. */
const SLOW_MULTIPLE = 2;
const SLOW_FACTOR = 0.75;
const REJECTION_FACTOR = 0.5;
/** Answers to requests from before a fall arrive for about this time, and say nothing about the new pace. */
const FALL_INTERVAL_MS = 500;
/** An upstream that gets no requests meanwhile keeps its pace no longer than this. */
const MAX_PACED_MS = 15_000;
const LOG_INTERVAL_MS = 1000;

interface Paced {
  startedAt: number;
  cause: PaceCause;
  slots: number;
  limit: number;
  /** Whether nothing has made the pace fall; it then doubles, otherwise it rises by one at a time. */
  isFirstRise: boolean;
  beganAt: number;
  windowAt: number;
  windowLimit: number;
  fellAt: number;
}

interface PaceHost {
  setPacedCount(count: number): void;
  countFall(reason: 'slow' | 'rejected'): void;
  log: Log;
}

/**
 * Decides how many requests all VMs together may have in flight at an upstream that has just started or
 * recovered: few at first, twice as many in each half second while it answers in time, and half as many
 * as soon as it rejects one. Every VM decides for itself, from its own answers and those that the others
 * report. An upstream without a pace costs one look-up for each answer.
 */
export default function createPace(host: PaceHost) {
  const pacedById = new Map<string, Paced>();
  const loggedAt = new Map<string, number>();

  /** Begins the pace of an upstream. One that has a pace keeps it, unless it has restarted. */
  function begin(
    now: number,
    { id, startedAt, slots }: Pick<Upstream, 'id' | 'startedAt' | 'slots'>,
    cause: PaceCause,
    inFlight: number,
  ): void {
    const known = tryGet(now, id);
    const isCold = cause === 'started' || cause === 'suspended';
    const limit = Math.max(
      MIN_PACE,
      slots * (isCold ? COLD_PART : UNKNOWN_PART),
      isCold ? 0 : inFlight,
    );
    if (limit >= slots * END_PART || (known?.startedAt === startedAt && known.limit <= limit)) {
      return;
    }
    pacedById.set(id, {
      startedAt,
      cause,
      slots,
      limit,
      isFirstRise: true,
      beganAt: now,
      windowAt: now,
      windowLimit: limit,
      fellAt: -Infinity,
    });
    host.setPacedCount(pacedById.size);
    logPaced(now, cause, id, inFlight);
  }

  function tryGet(now: number, id: string): Paced | undefined {
    const paced = pacedById.get(id);
    if (paced && now - paced.beganAt > MAX_PACED_MS) {
      remove(id);
      return undefined;
    }
    return paced;
  }

  /** Records an answer that took a multiple of the usual time. */
  function recordAnswer(now: number, id: string, multiple: number): void {
    const paced = tryGet(now, id);
    if (!paced) {
      return;
    }
    if (multiple > SLOW_MULTIPLE) {
      fall(now, id, paced, 'slow');
      return;
    }
    if (now - paced.windowAt >= DOUBLING_MS) {
      paced.windowAt = now;
      paced.windowLimit = paced.limit;
    }
    paced.limit = paced.isFirstRise
      ? Math.min(paced.limit + 1, paced.windowLimit * 2)
      : Math.min(paced.limit + 1 / paced.limit, paced.windowLimit + 1);
    if (paced.limit >= paced.slots * END_PART) {
      remove(id);
      logPaced(now, 'ended', id, 0, now - paced.beganAt);
    }
  }

  /** Records that an upstream rejected a request, or did not answer it in time. */
  function recordRejection(now: number, id: string): void {
    const paced = tryGet(now, id);
    if (paced) {
      fall(now, id, paced, 'rejected');
    }
  }

  function fall(now: number, id: string, paced: Paced, reason: 'slow' | 'rejected'): void {
    if (now - paced.fellAt < FALL_INTERVAL_MS) {
      return;
    }
    const factor = reason === 'slow' ? SLOW_FACTOR : REJECTION_FACTOR;
    Object.assign(paced, {
      limit: Math.max(MIN_PACE, paced.limit * factor),
      isFirstRise: false,
      fellAt: now,
      windowAt: now,
    });
    paced.windowLimit = paced.limit;
    host.countFall(reason);
    logPaced(now, reason, id, 0, now - paced.beganAt);
  }

  /** Returns the requests that all VMs together may have in flight there; Infinity without a pace. */
  function getLimit(now: number, { id, startedAt }: Pick<Upstream, 'id' | 'startedAt'>): number {
    const paced = pacedById.size === 0 ? undefined : tryGet(now, id);
    return paced?.startedAt === startedAt ? paced.limit : Infinity;
  }

  function logPaced(
    now: number,
    reason: string,
    upstream: string,
    inFlight: number,
    ageMs = 0,
  ): void {
    if (now - (loggedAt.get(reason) ?? -Infinity) >= LOG_INTERVAL_MS) {
      loggedAt.set(reason, now);
      const limit = pacedById.get(upstream)?.limit;
      const paced = pacedById.size;
      host.log('upstreamPaced', { upstream, reason, limit, inFlight, ageMs, paced });
    }
  }

  function remove(id: string): void {
    if (pacedById.delete(id)) {
      host.setPacedCount(pacedById.size);
    }
  }

  return { begin, recordAnswer, recordRejection, getLimit, remove };
}
