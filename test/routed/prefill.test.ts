import { expect } from 'chai';
import createPrefillQueue from '../../src/prefill/createPrefillQueue';
import getPrefillMs from '../../src/prefill/getPrefillMs';
import createRandom from '../../bench/createRandom';

/** Duration of one engine step without prefill, as documented for the engines. */
const STEP_MS = 6;
/** Prompt tokens that an engine prefills in one step at most. */
const MAX_TOKENS_PER_STEP = 2048;
const TOKENS_PER_MS = 38;
const STEPS_PER_EVENT = 5;
const EVENTS_PER_STREAM = 58;
const MAX_PAUSE_MS = 250;
const FIRST_EVENT_OBJECTIVE_MS = 600;
const SEND_TIMEOUT_MS = 1500;

interface Prompt {
  at: number;
  tokens: number;
  urgency: number;
}

interface SimulationResult {
  served: number;
  /** Fraction of the callers whose first event and pauses meet the objectives. */
  onTime: number;
}

describe('createPrefillQueue', () => {
  it('serves more callers on time than no queue when prompts arrive in bursts', () => {
    const prompts = createBursts(15, 20_000);
    const withoutQueue = simulate(prompts, false);
    const withQueue = simulate(prompts, true);
    expect(withQueue.served).to.equal(prompts.length);
    expect(withQueue.onTime).to.be.greaterThan(withoutQueue.onTime + 0.1);
  });

  it('serves more callers on time by refusing late prompts at 1.5 times the capacity', () => {
    const prompts = createBursts(40, 20_000);
    const sentAfterTimeout = simulate(prompts, true, 'send');
    const refused = simulate(prompts, true, 'refuse');
    expect(refused.onTime).to.be.greaterThan(sentAfterTimeout.onTime + 0.1);
  });

  it('immediately refuses requests that can no longer be on time', () => {
    const queue = createPrefillQueue(() => {});
    const request = (id: string) =>
      queue.request(
        0,
        { id, tokens: 3000, urgency: 0, onTimeMs: 300, pauseMs: MAX_PAUSE_MS },
        300,
        () => {},
      );
    expect(['a', 'b', 'c', 'd', 'e', 'f'].map(request)).to.deep.equal([
      'granted',
      'queued',
      'queued',
      'refused',
      'refused',
      'refused',
    ]);
  });

  it('grants urgent requests before others', () => {
    const queue = createPrefillQueue(() => {});
    const grantedIds: string[] = [];
    const request = (id: string, urgency: number) =>
      queue.request(
        0,
        { id, tokens: 3000, urgency, onTimeMs: 500, pauseMs: MAX_PAUSE_MS },
        1000,
        () => grantedIds.push(id),
      );
    request('first', 2);
    request('digest', 2);
    request('chat', 0);
    queue.finish(200, 'first');
    queue.finish(400, 'chat');
    expect(grantedIds).to.deep.equal(['first', 'chat', 'digest']);
  });

  it('grants requests that can still be on time before those that are late in any case', () => {
    const queue = createPrefillQueue(() => {});
    const grantedIds: string[] = [];
    const request = (id: string, onTimeMs: number) =>
      queue.request(
        0,
        { id, tokens: 3000, urgency: 0, onTimeMs, pauseMs: MAX_PAUSE_MS },
        5000,
        () => grantedIds.push(id),
      );
    request('first', 500);
    request('late', 100);
    request('inTime', 900);
    queue.finish(300, 'first');
    queue.finish(600, 'inTime');
    expect(grantedIds).to.deep.equal(['first', 'inTime', 'late']);
  });

  it('grants further requests if the end of a granted prefill is never reported', () => {
    const timers: { at: number; callback: () => void }[] = [];
    const clock = { now: 0 };
    const queue = createPrefillQueue((delayMs, callback) =>
      timers.push({ at: clock.now + delayMs, callback }),
    );
    const grantedIds: string[] = [];
    const prefillRequest = { tokens: 6000, urgency: 0, onTimeMs: 500, pauseMs: MAX_PAUSE_MS };
    queue.request(0, { ...prefillRequest, id: 'lost' }, 5000, () => grantedIds.push('lost'));
    queue.request(0, { ...prefillRequest, id: 'next' }, 5000, () => grantedIds.push('next'));
    for (; clock.now < 2000; clock.now += 10) {
      timers
        .splice(0)
        .forEach((timer) => (timer.at <= clock.now ? timer.callback() : timers.push(timer)));
    }
    expect(grantedIds).to.deep.equal(['lost', 'next']);
  });
});

/** Creates bursts of three prompts on average; a fifth of the prompts are long and less urgent. */
function createBursts(perSecond: number, durationMs: number): Prompt[] {
  const random = createRandom(7);
  const prompts: Prompt[] = [];
  let at = 0;
  while (at < durationMs) {
    at += (-Math.log(1 - random()) * 3000) / perSecond;
    const burstSize = 1 + Math.floor(random() * 5);
    for (let index = 0; index < burstSize; index += 1) {
      const isLong = random() < 0.2;
      const tokens = Math.round((isLong ? 2400 : 850) * (0.5 + random()));
      prompts.push({ at, tokens, urgency: isLong ? 2 : 0 });
    }
  }
  return prompts;
}

/**
 * Simulates an engine step by step: each step prefills waiting prompts, then generates one token of
 * each stream. `onTimeout` states what happens to a request that is not granted in time: it waits,
 * is sent without a permission after `SEND_TIMEOUT_MS`, or is refused once it cannot be on time.
 */
function simulate(
  prompts: Prompt[],
  usesQueue: boolean,
  onTimeout: 'wait' | 'send' | 'refuse' = 'wait',
): SimulationResult {
  const clock = { now: 0 };
  const timers: { at: number; callback: () => void }[] = [];
  const queue = createPrefillQueue((delayMs, callback) =>
    timers.push({ at: clock.now + delayMs, callback }),
  );
  const pending: { id: string; remainingTokens: number; prompt: Prompt }[] = [];
  const arrivals = prompts.map((prompt, index) => ({ prompt, id: String(index) }));
  const prefilledAt = new Map<string, number>();
  const stepEnds: number[] = [];
  const refused = new Set<string>();
  while (prefilledAt.size + refused.size < prompts.length && clock.now < 120_000) {
    while (arrivals.length > 0 && arrivals[0].prompt.at <= clock.now) {
      const { prompt, id } = arrivals.shift()!;
      const send = () => pending.push({ id, remainingTokens: prompt.tokens, prompt });
      if (usesQueue) {
        const { tokens, urgency } = prompt;
        const onTimeMs = FIRST_EVENT_OBJECTIVE_MS - getPrefillMs(tokens);
        const prefillRequest = { id, tokens, urgency, onTimeMs, pauseMs: MAX_PAUSE_MS };
        const waitMs = onTimeout === 'refuse' ? onTimeMs : 60_000;
        const sent = new Set<string>();
        const sendOnce = () => {
          if (!sent.has(id)) {
            sent.add(id);
            send();
          }
        };
        const state = queue.request(clock.now, prefillRequest, waitMs, sendOnce);
        if (state === 'refused') {
          refused.add(id);
        } else if (onTimeout === 'send') {
          timers.push({ at: clock.now + SEND_TIMEOUT_MS, callback: sendOnce });
        } else if (onTimeout === 'refuse') {
          const callback = () => !sent.has(id) && refused.add(id);
          timers.push({ at: clock.now + waitMs, callback });
        }
      } else {
        send();
      }
    }
    let freeTokens = MAX_TOKENS_PER_STEP;
    const prefilledIds: string[] = [];
    while (freeTokens > 0 && pending.length > 0) {
      const prefilledTokens = Math.min(freeTokens, pending[0].remainingTokens);
      pending[0].remainingTokens -= prefilledTokens;
      freeTokens -= prefilledTokens;
      if (pending[0].remainingTokens === 0) {
        prefilledIds.push(pending.shift()!.id);
      }
    }
    clock.now += STEP_MS + (MAX_TOKENS_PER_STEP - freeTokens) / TOKENS_PER_MS;
    stepEnds.push(clock.now);
    prefilledIds.forEach((id) => {
      prefilledAt.set(id, clock.now);
      queue.finish(clock.now, id);
    });
    timers
      .splice(0)
      .forEach((timer) => (timer.at <= clock.now ? timer.callback() : timers.push(timer)));
  }
  const isOnTime = (prompt: Prompt, id: string) => {
    const firstEventAt = prefilledAt.get(id);
    const firstStep = stepEnds.findIndex((end) => end === firstEventAt);
    if (firstEventAt === undefined || firstEventAt - prompt.at > FIRST_EVENT_OBJECTIVE_MS) {
      return false;
    }
    const events = stepEnds
      .slice(firstStep, firstStep + STEPS_PER_EVENT * EVENTS_PER_STREAM)
      .filter((_, index) => index % STEPS_PER_EVENT === 0);
    return events.every((end, index) => index === 0 || end - events[index - 1] <= MAX_PAUSE_MS);
  };
  const onTime = prompts.filter((prompt, index) => isOnTime(prompt, String(index)));
  return { served: prefilledAt.size, onTime: onTime.length / prompts.length };
}
