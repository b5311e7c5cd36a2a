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
/** As many slow answers in a row show that an upstream slows down; further ones only hold the pace. */
const SLOW_ANSWERS = 2;
/** More waiting requests than this part of the slots show that the pace is too high. */
const MAX_WAITING_PART = 1 / 4;
/** Part of the slots by which the pace rises in `DOUBLING_MS` after a fall. */
const RISE_PART = 1 / 8;
const FACTORS = { slow: 0.75, waiting: 0.75, rejected: 0.5 };
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
  /** Whether nothing has made the pace fall; it then doubles, otherwise it rises evenly. */
  isFirstRise: boolean;
  slowInRow: number;
  beganAt: number;
  windowAt: number;
  windowLimit: number;
  fellAt: number;
}

interface PaceHost {
  setPacedCount(count: number): void;
  countFall(reason: keyof typeof FACTORS): void;
  log: Log;
}

/**
 * Decides how many requests all VMs together may have in flight at an upstream that has just started or
 * recovered: few at first, twice as many in each half second while it answers in time, and fewer as soon
 * as it rejects one, lets many wait or slows down. Every VM decides for itself, from its own answers and those that the others
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
      slowInRow: 0,
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
    paced.slowInRow = multiple > SLOW_MULTIPLE ? paced.slowInRow + 1 : 0;
    if (paced.slowInRow > 0) {
      if (paced.slowInRow === SLOW_ANSWERS) {
        fall(now, id, paced, 'slow');
      }
      return;
    }
    if (now - paced.windowAt >= DOUBLING_MS) {
      paced.windowAt = now;
      paced.windowLimit = paced.limit;
    }
    const rise = paced.isFirstRise ? paced.windowLimit : Math.max(1, paced.slots * RISE_PART);
    const step = paced.isFirstRise ? 1 : rise / paced.limit;
    paced.limit = Math.min(paced.limit + step, paced.windowLimit + rise);
    if (paced.limit >= paced.slots * END_PART) {
      remove(id);
      logPaced(now, 'ended', id, 0, now - paced.beganAt);
    }
  }

  /** Records how many requests an upstream states to wait there. */
  function recordWaiting(now: number, id: string, waiting: number): void {
    const paced = tryGet(now, id);
    if (paced && waiting > paced.slots * MAX_WAITING_PART) {
      fall(now, id, paced, 'waiting');
    }
  }

  /** Records that an upstream rejected a request, or did not answer it in time. */
  function recordRejection(now: number, id: string): void {
    const paced = tryGet(now, id);
    if (paced) {
      fall(now, id, paced, 'rejected');
    }
  }

  function fall(now: number, id: string, paced: Paced, reason: keyof typeof FACTORS): void {
    if (now - paced.fellAt < FALL_INTERVAL_MS) {
      return;
    }
    Object.assign(paced, {
      limit: Math.max(MIN_PACE, paced.limit * FACTORS[reason]),
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

  return { begin, recordAnswer, recordWaiting, recordRejection, getLimit, remove };
}
