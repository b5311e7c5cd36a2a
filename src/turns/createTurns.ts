import type TurnAsk from './TurnAsk';

/** Tokens of prompts that an engine reads in a millisecond when it does nothing else. */
const READ_TOKENS_PER_MS = 38;
/** Time of the five steps that make one event of a stream. */
const EVENT_MS = 35;
/** Part of what fits between two events that is given as turns. */
const USED_SHARE = 0.9;
/** Tokens given turns at once after a pause. */
const BURST_TOKENS = 1300;
/** Tokens that may wait to be read at the engine itself: a slow one gets no more turns. */
const MAX_UNREAD_TOKENS = 2400;
/** A turn whose end was not told, since its VM has died, is over after this. */
const LOST_MS = 1500;

interface Waiting extends TurnAsk {
  since: number;
  expiresAt: number;
  onGranted: () => void;
}

/**
 * Spreads the reading of prompts at one engine: a request gets its turn when those before it are
 * read, the urgent first. Answers bursts of prompts, which stop all streams of an engine.
 */
export default function createTurns(schedule: (delayMs: number, callback: () => void) => void) {
  let tokensPerMs = Infinity;
  const running = new Map<string, { tokens: number; since: number }>();
  let waiting: Waiting[] = [];
  let credit = BURST_TOKENS;
  let creditAt = -Infinity;
  let isScheduled = false;

  /** Asks for a turn; `onGranted` is called at once or when it comes. */
  function ask(now: number, asked: TurnAsk, waitMs: number, onGranted: () => void): void {
    tokensPerMs = Math.min(tokensPerMs, getRate(asked.pauseMs));
    waiting.push({ ...asked, since: now, expiresAt: now + waitMs, onGranted });
    waiting.sort((left, right) => left.urgency - right.urgency || left.since - right.since);
    grant(now);
  }

  /** The prompt has been read, or the request has ended before. */
  function finish(now: number, id: string): void {
    running.delete(id);
    waiting = waiting.filter((other) => other.id !== id);
    grant(now);
  }

  function grant(now: number): void {
    running.forEach((turn, id) => {
      if (now - turn.since > LOST_MS) {
        running.delete(id);
      }
    });
    waiting = waiting.filter((other) => other.expiresAt > now);
    credit = Math.min(BURST_TOKENS, credit + (now - creditAt) * tokensPerMs);
    creditAt = now;
    while (waiting.length > 0 && credit > 0 && hasRoom(waiting[0])) {
      const next = waiting.shift()!;
      credit -= next.tokens;
      running.set(next.id, { tokens: next.tokens, since: now });
      next.onGranted();
    }
    if (waiting.length > 0 && credit <= 0 && !isScheduled) {
      isScheduled = true;
      const delayMs = Math.ceil(-credit / tokensPerMs) + 1;
      schedule(delayMs, () => {
        isScheduled = false;
        grant(now + delayMs);
      });
    }
  }

  function hasRoom(next: Waiting): boolean {
    return running.size === 0 || getUnread() + next.tokens <= MAX_UNREAD_TOKENS;
  }

  function getUnread(): number {
    return [...running.values()].reduce((sum, turn) => sum + turn.tokens, 0);
  }

  /** Tokens of the prompts that wait or are being read. */
  function getBacklog(): number {
    return waiting.reduce((sum, other) => sum + other.tokens, getUnread());
  }

  return { ask, finish, getBacklog };
}

/**
 * Tokens a millisecond of which a burst and a pause's worth can be read between two events of a
 * stream without making the pause longer than allowed.
 */
function getRate(pauseMs: number): number {
  const fitting = (pauseMs - EVENT_MS) * READ_TOKENS_PER_MS * USED_SHARE;
  return Math.max(1, (fitting - BURST_TOKENS) / pauseMs);
}
