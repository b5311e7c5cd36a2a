import createFairShares from '../organisations/createFairShares';
import getPrefillMs from './getPrefillMs';
import type PrefillRequest from './PrefillRequest';
import type PrefillState from './PrefillState';

/** Duration of the five engine steps that produce one event of a stream. */
const STREAM_EVENT_MS = 40;
/** Fraction of the time available between two events that is granted for prefill. */
const USABLE_FRACTION = 0.9;
/** Prefill time that may be granted at once after an idle period. */
const MAX_CREDIT_MS = 35;
/**
 * Granted prefill time that may be unfinished at once, as a fraction of the shortest pause objective.
 * This keeps further prompts from an engine that is slower than expected.
 */
const MAX_GRANTED_FRACTION = 0.32;
/**
 * Time by which a request of one urgency precedes one of the next lower urgency, a sixth of a usual
 * objective.
 */
const URGENCY_STEP_MS = 100;
/** Interval at which the queue is checked for granted prefills whose end is never reported. */
const GRANT_RETRY_MS = 200;
/** A granted prefill counts as ended after this time: its VM may have died without reporting it. */
const PREFILL_TIMEOUT_MS = 1500;

interface QueuedRequest extends PrefillRequest {
  since: number;
  expiresAt: number;
  onGranted: () => void;
}

/**
 * Spreads the prefill of prompts on one engine over time. Requests are granted one after the other,
 * urgent ones first, at a limited rate; organisations share it by their weights. Designed for bursts of prompts, whose prefill pauses all
 * streams of an engine.
 */
export default function createPrefillQueue(
  schedule: (delayMs: number, callback: () => void) => void,
  getWeight: (organisation: string) => number = () => 1,
) {
  const fairShares = createFairShares(getWeight);
  let prefillFraction = 1;
  let maxGrantedMs = Infinity;
  const granted = new Map<string, { prefillMs: number; since: number }>();
  let queue: QueuedRequest[] = [];
  let creditMs = MAX_CREDIT_MS;
  let creditUpdatedAt = -Infinity;
  let nextGrantAt = Infinity;

  /**
   * Queues a prefill request. Calls `onGranted` immediately or once it is granted. Returns
   * `refused` if the requests ahead of it take longer than `waitMs`.
   */
  function request(
    now: number,
    prefillRequest: PrefillRequest,
    waitMs: number,
    onGranted: () => void,
  ): PrefillState {
    prefillFraction = Math.min(prefillFraction, getPrefillFraction(prefillRequest.pauseMs));
    maxGrantedMs = Math.min(maxGrantedMs, prefillRequest.pauseMs * MAX_GRANTED_FRACTION);
    const next = { ...prefillRequest, since: now, expiresAt: now + waitMs, onGranted };
    removeExpired(now);
    fairShares.advance(now, prefillFraction);
    fairShares.observe(now, prefillRequest.organisation);
    if (getWaitMs(now, next) > waitMs) {
      return 'refused';
    }
    queue.push(next);
    grant(now);
    return granted.has(prefillRequest.id) ? 'granted' : 'queued';
  }

  /** Returns the time in milliseconds until the prompts ahead of a request have been prefilled. */
  function getWaitMs(now: number, next: QueuedRequest): number {
    const aheadMs = getAhead(now, next).reduce((sum, other) => sum + getWork(other), 0);
    const availableMs = Math.min(
      MAX_CREDIT_MS,
      creditMs + (now - creditUpdatedAt) * prefillFraction,
    );
    return (
      Math.max(0, aheadMs + Math.max(0, getGrantedMs() - maxGrantedMs) - availableMs) /
      prefillFraction
    );
  }

  function getAhead(now: number, next: QueuedRequest): QueuedRequest[] {
    if ([...queue, next].every(({ organisation }) => organisation === next.organisation)) {
      return queue.filter((other) => comparePriority(now, other, next) <= 0);
    }
    const sorted = sort(now, [...queue, next]);
    return sorted.slice(0, sorted.indexOf(next));
  }

  /** Removes a request whose prompt has been prefilled, or that has ended before. */
  function finish(now: number, id: string): void {
    granted.delete(id);
    queue = queue.filter((other) => other.id !== id);
    grant(now);
  }

  /** Grants queued requests as far as the credit and the unfinished prefills allow. */
  function grant(now: number): void {
    removeExpired(now);
    fairShares.advance(now, prefillFraction);
    queue = sort(now, queue);
    creditMs = Math.min(MAX_CREDIT_MS, creditMs + (now - creditUpdatedAt) * prefillFraction);
    creditUpdatedAt = now;
    while (queue.length > 0 && creditMs > 0 && canGrant(queue[0])) {
      const next = queue[0];
      fairShares.record(next, getWork(next));
      queue.shift();
      creditMs -= getPrefillMs(next.tokens);
      granted.set(next.id, { prefillMs: getPrefillMs(next.tokens), since: now });
      next.onGranted();
    }
    if (queue.length > 0) {
      scheduleGrant(
        now,
        creditMs > 0 ? GRANT_RETRY_MS : Math.ceil(-creditMs / prefillFraction) + 1,
      );
    }
  }

  /** Returns requests in the order in which they are granted if no others arrive. */
  function sort(now: number, requests: readonly QueuedRequest[]): QueuedRequest[] {
    return fairShares.sort(requests, (left, right) => comparePriority(now, left, right), getWork);
  }

  function removeExpired(now: number): void {
    granted.forEach((prefill, id) => {
      if (now - prefill.since > PREFILL_TIMEOUT_MS) {
        granted.delete(id);
      }
    });
    queue = queue.filter((other) => other.expiresAt > now);
  }

  /** Schedules the next attempt to grant requests, unless an earlier one is scheduled. */
  function scheduleGrant(now: number, delayMs: number): void {
    const at = now + delayMs;
    if (at >= nextGrantAt) {
      return;
    }
    nextGrantAt = at;
    schedule(delayMs, () => {
      nextGrantAt = Infinity;
      grant(at);
    });
  }

  function canGrant(next: QueuedRequest): boolean {
    return granted.size === 0 || getGrantedMs() + getPrefillMs(next.tokens) <= maxGrantedMs;
  }

  function getGrantedMs(): number {
    return [...granted.values()].reduce((sum, prefill) => sum + prefill.prefillMs, 0);
  }

  /** Returns the prefill time in milliseconds of all granted and queued prompts. */
  function getBacklogMs(): number {
    return queue.reduce((sum, other) => sum + getPrefillMs(other.tokens), getGrantedMs());
  }

  return { request, finish, getBacklogMs };
}

/**
 * Compares two queued requests. Those that can still meet their objective come first, by the time
 * at which they must start, which is earlier for urgent ones. This keeps large prompts from
 * starving.
 */
function comparePriority(now: number, left: QueuedRequest, right: QueuedRequest): number {
  return (
    Number(isLate(now, left)) - Number(isLate(now, right)) ||
    getStartBy(left) - getStartBy(right) ||
    left.since - right.since
  );
}

function getWork({ tokens }: PrefillRequest): number {
  return getPrefillMs(tokens);
}

function getStartBy({ since, onTimeMs, urgency }: QueuedRequest): number {
  return since + onTimeMs + urgency * URGENCY_STEP_MS;
}

/** Returns whether a request has waited too long to meet its objective. */
function isLate(now: number, request: QueuedRequest): boolean {
  return now > request.since + request.onTimeMs;
}

/**
 * Returns the fraction of time that may be granted for prefill. A burst of `MAX_CREDIT_MS` and the
 * prefill granted during one pause then fit between two events of a stream within `pauseMs`.
 */
function getPrefillFraction(pauseMs: number): number {
  return Math.max(0.1, ((pauseMs - STREAM_EVENT_MS) * USABLE_FRACTION - MAX_CREDIT_MS) / pauseMs);
}
