import { expect } from 'chai';
import createPrefillQueue from '../../src/prefill/createPrefillQueue';
import getPrefillMs from '../../src/prefill/getPrefillMs';
import createRandom from '../../bench/createRandom';

/** Description of the engines: what one step takes, and the tokens read in one. */
const STEP_MS = 6;
const CHUNK_TOKENS = 2048;
const TOKENS_PER_MS = 38;
const STEPS_PER_EVENT = 5;
const EVENTS = 58;
const PAUSE_MS = 250;
const OBJECTIVE_MS = 600;
const SENT_ANYWAY_MS = 1500;

interface Prompt {
  at: number;
  tokens: number;
  urgency: number;
}

interface Result {
  served: number;
  /** Share of the callers whose first event and whose pauses are within the objectives. */
  onTime: number;
}

describe('turns at an engine', () => {
  it('serve more callers on time while clumps of prompts arrive', () => {
    const prompts = getClumps(15, 20_000);
    const without = play(prompts, false);
    const withTurns = play(prompts, true);
    expect(withTurns.served).to.equal(prompts.length);
    expect(withTurns.onTime).to.be.greaterThan(without.onTime + 0.1);
  });

  it('serve more callers on time at half more than an engine can read', () => {
    const prompts = getClumps(40, 20_000);
    const sentAnyway = play(prompts, true, 'send');
    const refused = play(prompts, true, 'refuse');
    expect(refused.onTime).to.be.greaterThan(sentAnyway.onTime + 0.1);
  });

  it('refuse at once what can be on time no more', () => {
    const turns = createPrefillQueue(() => {});
    const ask = (id: string) =>
      turns.request(
        0,
        { id, tokens: 3000, urgency: 0, onTimeMs: 300, pauseMs: PAUSE_MS },
        300,
        () => {},
      );
    expect(['a', 'b', 'c', 'd', 'e', 'f'].map(ask)).to.deep.equal([
      'granted',
      'queued',
      'queued',
      'refused',
      'refused',
      'refused',
    ]);
  });

  it('let urgent prompts go before others', () => {
    const turns = createPrefillQueue(() => {});
    const order: string[] = [];
    const ask = (id: string, urgency: number) =>
      turns.request(0, { id, tokens: 3000, urgency, onTimeMs: 500, pauseMs: PAUSE_MS }, 1000, () =>
        order.push(id),
      );
    ask('first', 2);
    ask('digest', 2);
    ask('chat', 0);
    turns.finish(200, 'first');
    turns.finish(400, 'chat');
    expect(order).to.deep.equal(['first', 'chat', 'digest']);
  });

  it('let a prompt that is late in any case wait behind one that can be on time', () => {
    const turns = createPrefillQueue(() => {});
    const order: string[] = [];
    const ask = (id: string, onTimeMs: number) =>
      turns.request(0, { id, tokens: 3000, urgency: 0, onTimeMs, pauseMs: PAUSE_MS }, 5000, () =>
        order.push(id),
      );
    ask('first', 500);
    ask('late', 100);
    ask('inTime', 900);
    turns.finish(300, 'first');
    turns.finish(600, 'inTime');
    expect(order).to.deep.equal(['first', 'inTime', 'late']);
  });

  it('go on when the end of a turn is never told', () => {
    const timers: { at: number; callback: () => void }[] = [];
    const clock = { now: 0 };
    const turns = createPrefillQueue((delayMs, callback) =>
      timers.push({ at: clock.now + delayMs, callback }),
    );
    const granted: string[] = [];
    const asked = { tokens: 6000, urgency: 0, onTimeMs: 500, pauseMs: PAUSE_MS };
    turns.request(0, { ...asked, id: 'lost' }, 5000, () => granted.push('lost'));
    turns.request(0, { ...asked, id: 'next' }, 5000, () => granted.push('next'));
    for (; clock.now < 2000; clock.now += 10) {
      timers
        .splice(0)
        .forEach((timer) => (timer.at <= clock.now ? timer.callback() : timers.push(timer)));
    }
    expect(granted).to.deep.equal(['lost', 'next']);
  });
});

/** Clumps of three on average, a fifth of them long prompts that can wait. */
function getClumps(perSecond: number, durationMs: number): Prompt[] {
  const random = createRandom(7);
  const prompts: Prompt[] = [];
  let at = 0;
  while (at < durationMs) {
    at += (-Math.log(1 - random()) * 3000) / perSecond;
    const size = 1 + Math.floor(random() * 5);
    for (let index = 0; index < size; index += 1) {
      const isLong = random() < 0.2;
      const tokens = Math.round((isLong ? 2400 : 850) * (0.5 + random()));
      prompts.push({ at, tokens, urgency: isLong ? 2 : 0 });
    }
  }
  return prompts;
}

/** Plays an engine step by step: it reads what waits at it, then makes a token of each stream. */
function play(
  prompts: Prompt[],
  isTaking: boolean,
  atLast: 'wait' | 'send' | 'refuse' = 'wait',
): Result {
  const clock = { now: 0 };
  const timers: { at: number; callback: () => void }[] = [];
  const turns = createPrefillQueue((delayMs, callback) =>
    timers.push({ at: clock.now + delayMs, callback }),
  );
  const unread: { id: string; left: number; prompt: Prompt }[] = [];
  const coming = prompts.map((prompt, index) => ({ prompt, id: String(index) }));
  const readAt = new Map<string, number>();
  const stepEnds: number[] = [];
  const refused = new Set<string>();
  while (readAt.size + refused.size < prompts.length && clock.now < 120_000) {
    while (coming.length > 0 && coming[0].prompt.at <= clock.now) {
      const { prompt, id } = coming.shift()!;
      const send = () => unread.push({ id, left: prompt.tokens, prompt });
      if (isTaking) {
        const { tokens, urgency } = prompt;
        const onTimeMs = OBJECTIVE_MS - getPrefillMs(tokens);
        const asked = { id, tokens, urgency, onTimeMs, pauseMs: PAUSE_MS };
        const waitMs = atLast === 'refuse' ? onTimeMs : 60_000;
        const sent = new Set<string>();
        const sendOnce = () => {
          if (!sent.has(id)) {
            sent.add(id);
            send();
          }
        };
        const state = turns.request(clock.now, asked, waitMs, sendOnce);
        if (state === 'refused') {
          refused.add(id);
        } else if (atLast === 'send') {
          timers.push({ at: clock.now + SENT_ANYWAY_MS, callback: sendOnce });
        } else if (atLast === 'refuse') {
          const callback = () => !sent.has(id) && refused.add(id);
          timers.push({ at: clock.now + waitMs, callback });
        }
      } else {
        send();
      }
    }
    let room = CHUNK_TOKENS;
    const done: string[] = [];
    while (room > 0 && unread.length > 0) {
      const part = Math.min(room, unread[0].left);
      unread[0].left -= part;
      room -= part;
      if (unread[0].left === 0) {
        done.push(unread.shift()!.id);
      }
    }
    clock.now += STEP_MS + (CHUNK_TOKENS - room) / TOKENS_PER_MS;
    stepEnds.push(clock.now);
    done.forEach((id) => {
      readAt.set(id, clock.now);
      turns.finish(clock.now, id);
    });
    timers
      .splice(0)
      .forEach((timer) => (timer.at <= clock.now ? timer.callback() : timers.push(timer)));
  }
  const isOnTime = (prompt: Prompt, id: string) => {
    const first = readAt.get(id);
    const step = stepEnds.findIndex((end) => end === first);
    if (first === undefined || first - prompt.at > OBJECTIVE_MS) {
      return false;
    }
    const events = stepEnds
      .slice(step, step + STEPS_PER_EVENT * EVENTS)
      .filter((_, index) => index % STEPS_PER_EVENT === 0);
    return events.every((end, index) => index === 0 || end - events[index - 1] <= PAUSE_MS);
  };
  const onTime = prompts.filter((prompt, index) => isOnTime(prompt, String(index)));
  return { served: readAt.size, onTime: onTime.length / prompts.length };
}
