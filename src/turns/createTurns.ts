import type TurnAsk from './TurnAsk';

/**
 * Prompt tokens that an engine reads at once. It reads them between the tokens of the streams that
 * it serves, up to 2048 a step; five such steps make one event wait for longer than the objective
 * on pauses (250 ms), five steps of this size do not.
 */
const MAX_TOKENS = 1400;
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
export default function createTurns() {
  const running = new Map<string, { tokens: number; since: number }>();
  let waiting: Waiting[] = [];

  /** Asks for a turn; `onGranted` is called at once or when it comes. */
  function ask(now: number, asked: TurnAsk, waitMs: number, onGranted: () => void): void {
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
    while (waiting.length > 0 && hasRoom(waiting[0])) {
      const next = waiting.shift()!;
      running.set(next.id, { tokens: next.tokens, since: now });
      next.onGranted();
    }
  }

  function hasRoom(next: Waiting): boolean {
    return running.size === 0 || getTokens() + next.tokens <= MAX_TOKENS;
  }

  function getTokens(): number {
    return [...running.values()].reduce((sum, turn) => sum + turn.tokens, 0);
  }

  return { ask, finish, getWaiting: () => waiting.length };
}
