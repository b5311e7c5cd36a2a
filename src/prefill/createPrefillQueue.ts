import getPrefillMs from './getPrefillMs';
import type PrefillRequest from './PrefillRequest';
import type PrefillState from './PrefillState';

/** Time of the five steps that make one event of a stream. */
const EVENT_MS = 40;
/** Part of what fits between two events that is given as turns. */
const USED_SHARE = 0.9;
/** Reading time given at once after a pause. */
const BURST_MS = 35;
/** Reading time that may wait at the engine itself: a slow one gets no more turns. */
const MAX_UNREAD_MS = 75;
/** Head start of a request over one of the next lower urgency: a sixth of a usual objective. */
const URGENCY_MS = 100;
/** For turns whose end is never told. */
const LOOK_AGAIN_MS = 200;
/** A turn whose end was not told, since its VM has died, is over after this. */
const LOST_MS = 1500;

interface Waiting extends PrefillRequest {
  since: number;
  expiresAt: number;
  onGranted: () => void;
}

/**
 * Spreads the reading of prompts at one engine: a request gets its turn when those before it are
 * read, the urgent first. Answers bursts of prompts, which stop all streams of an engine.
 */
export default function createPrefillQueue(
  schedule: (delayMs: number, callback: () => void) => void,
) {
  let share = 1;
  const running = new Map<string, { readMs: number; since: number }>();
  let waiting: Waiting[] = [];
  let credit = BURST_MS;
  let creditAt = -Infinity;
  let lookAt = Infinity;

  /**
   * Asks for a turn; `onGranted` is called at once or when it comes. Refused is what can't have its
   * turn within `waitMs`, since those that wait before it take longer.
   */
  function request(
    now: number,
    asked: PrefillRequest,
    waitMs: number,
    onGranted: () => void,
  ): PrefillState {
    share = Math.min(share, getShare(asked.pauseMs));
    const next = { ...asked, since: now, expiresAt: now + waitMs, onGranted };
    removeOld(now);
    if (getWaitMs(now, next) > waitMs) {
      return 'refused';
    }
    waiting.push(next);
    grant(now);
    return running.has(asked.id) ? 'granted' : 'queued';
  }

  /** Time until those that go before a request have been read. */
  function getWaitMs(now: number, next: Waiting): number {
    const before = waiting
      .filter((other) => compare(now, other, next) <= 0)
      .reduce((sum, other) => sum + getPrefillMs(other.tokens), 0);
    const current = Math.min(BURST_MS, credit + (now - creditAt) * share);
    return Math.max(0, before + Math.max(0, getUnreadMs() - MAX_UNREAD_MS) - current) / share;
  }

  /** The prompt has been read, or the request has ended before. */
  function finish(now: number, id: string): void {
    running.delete(id);
    waiting = waiting.filter((other) => other.id !== id);
    grant(now);
  }

  function grant(now: number): void {
    removeOld(now);
    waiting.sort((left, right) => compare(now, left, right));
    credit = Math.min(BURST_MS, credit + (now - creditAt) * share);
    creditAt = now;
    while (waiting.length > 0 && credit > 0 && hasRoom(waiting[0])) {
      const next = waiting.shift()!;
      credit -= getPrefillMs(next.tokens);
      running.set(next.id, { readMs: getPrefillMs(next.tokens), since: now });
      next.onGranted();
    }
    if (waiting.length > 0) {
      lookAgain(now, credit > 0 ? LOOK_AGAIN_MS : Math.ceil(-credit / share) + 1);
    }
  }

  function removeOld(now: number): void {
    running.forEach((turn, id) => {
      if (now - turn.since > LOST_MS) {
        running.delete(id);
      }
    });
    waiting = waiting.filter((other) => other.expiresAt > now);
  }

  /** Looks again after a delay, unless that is to be done sooner anyway. */
  function lookAgain(now: number, delayMs: number): void {
    const at = now + delayMs;
    if (at >= lookAt) {
      return;
    }
    lookAt = at;
    schedule(delayMs, () => {
      lookAt = Infinity;
      grant(at);
    });
  }

  function hasRoom(next: Waiting): boolean {
    return running.size === 0 || getUnreadMs() + getPrefillMs(next.tokens) <= MAX_UNREAD_MS;
  }

  function getUnreadMs(): number {
    return [...running.values()].reduce((sum, turn) => sum + turn.readMs, 0);
  }

  /** Time that the prompts that wait or are being read take. */
  function getBacklogMs(): number {
    return waiting.reduce((sum, other) => sum + getPrefillMs(other.tokens), getUnreadMs());
  }

  return { request, finish, getBacklogMs };
}

/**
 * Orders those that wait: the ones that can be on time first, by the moment at which they must
 * begin; urgent ones as if they had to begin sooner. Large prompts keep their chance that way.
 */
function compare(now: number, left: Waiting, right: Waiting): number {
  return (
    Number(isLate(now, left)) - Number(isLate(now, right)) ||
    getBeginBy(left) - getBeginBy(right) ||
    left.since - right.since
  );
}

function getBeginBy({ since, onTimeMs, urgency }: Waiting): number {
  return since + onTimeMs + urgency * URGENCY_MS;
}

/** Whether a request is late in any case: it yields to those that can be on time. */
function isLate(now: number, waiting: Waiting): boolean {
  return now > waiting.since + waiting.onTimeMs;
}

/**
 * Part of the time of which a burst and a pause's worth can be read between two events of a
 * stream without making the pause longer than allowed.
 */
function getShare(pauseMs: number): number {
  return Math.max(0.1, ((pauseMs - EVENT_MS) * USED_SHARE - BURST_MS) / pauseMs);
}
