import { expect } from 'chai';
import fc from 'fast-check';
import createRandom from '../../bench/createRandom';
import type Manifest from '../../src/manifest/Manifest';
import createFairShares from '../../src/organisations/createFairShares';
import createShareWeights from '../../src/organisations/createShareWeights';
import createPrefillQueue from '../../src/prefill/createPrefillQueue';
import getPrefillMs from '../../src/prefill/getPrefillMs';

/** Relative sizes of 16 organisations, a few of them large. */
const SIZES = [16, 10, 8, 6, 4, 3, 2, 2, 1, 1, 1, 1, 1, 1, 1, 1];
const HOT_FROM_MS = 5000;
const HOT_MS = 8000;
const END_MS = 16_000;
const OBJECTIVE_MS = 803;
/** Prompts a second of all organisations together that use four fifths of the queue's capacity. */
const USUAL_PER_SECOND = 11;
/** Part of what the others are served without a hot organisation that they must be served with one. */
const MIN_KEPT = 0.95;
const SEEDS = [1, 101, 201, 301];
const PAUSE_MS = 300;
/** As in `createAttempts`. */
const FIRST_EVENT_MARGIN_MS = 80;
const TOLERATED_LATENESS_MS = 150;

interface Prompt {
  at: number;
  tokens: number;
  organisation: number;
}

describe('organisations in the prefill queue of an engine', () => {
  [0, 1, 4, 12].forEach((hot) => {
    [2, 4, 8].forEach((factor) => {
      // Guards against one organisation whose burst is refused no sooner than the requests of others.
      it(`the others are served as usual while organisation ${hot} sends ${factor} times its usual`, () => {
        const usual = play(hot, 1, true);
        const fair = play(hot, factor, true);
        const isOther = (prompt: Prompt) => prompt.organisation !== hot;
        const kept = getShare(fair, isOther) / getShare(usual, isOther);
        expect(kept, 'kept by the others').to.be.at.least(MIN_KEPT);
        const isHot = (prompt: Prompt) => prompt.organisation === hot;
        const getCount = (results: ReturnType<typeof simulate>) =>
          results.filter(({ isServed, prompt }) => isServed && isHot(prompt)).length;
        expect(getCount(fair), 'served of the hot one').to.be.at.least(getCount(usual) * MIN_KEPT);
      });
    });
  });

  it('is needed: without organisations, the others lose by a hot one', () => {
    const isOther = (prompt: Prompt) => prompt.organisation !== 0;
    const kept = getShare(play(0, 8, false), isOther) / getShare(play(0, 1, false), isOther);
    expect(kept).to.be.lessThan(MIN_KEPT);
  });

  it('weighs organisations by their allowance in tokens', () => {
    const getAllowance = (perSecond: number, unit: 'tokens' | 'requests' = 'tokens') => ({
      ...{ unit, perSecond, burst: 0, defaultTokens: 0 },
    });
    const organisations: Manifest['organisations'] = new Map([
      ['k1', { name: 'small', urgency: 0, allowance: getAllowance(100) }],
      ['k2', { name: 'large', urgency: 0, allowance: getAllowance(300) }],
      ['k3', { name: 'calls', urgency: 0, allowance: getAllowance(9, 'requests') }],
    ]);
    const getWeight = createShareWeights();
    const names = ['small', 'large', 'calls', 'unknown'];
    expect(names.map((name) => getWeight(organisations, name))).to.deep.equal([0.5, 1.5, 1, 1]);
    expect(getWeight(undefined, 'large')).to.equal(1);
  });

  it('keeps the usual order within an organisation, and without organisations', () => {
    const item = fc.record({
      organisation: fc.constantFrom('a', 'b', 'c'),
      priority: fc.integer(),
      work: fc.integer({ min: 1, max: 300 }),
    });
    fc.assert(
      fc.property(fc.array(item), (items) => {
        const shares = createFairShares(() => 1);
        const compare = (left: { priority: number }, right: { priority: number }) =>
          left.priority - right.priority;
        const getWork = ({ work }: { work: number }) => work;
        const sorted = shares.sort(items, compare, getWork);
        expect(sorted).to.have.members(items);
        ['a', 'b', 'c'].forEach((name) => {
          const isOwn = ({ organisation }: { organisation: string }) => organisation === name;
          expect(sorted.filter(isOwn)).to.deep.equal(items.filter(isOwn).sort(compare));
        });
        const plain = items.map(({ priority, work }) => ({
          organisation: undefined,
          priority,
          work,
        }));
        expect(shares.sort(plain, compare, getWork)).to.deep.equal([...plain].sort(compare));
      }),
    );
  });
});

/** Plays several series of arrivals, so that no single prompt decides about a share. */
function play(hot: number, factor: number, isFair: boolean) {
  return SEEDS.flatMap((seed) => simulate(createPrompts(hot, factor, seed), isFair));
}

function createPrompts(hot: number, factor: number, seed: number): Prompt[] {
  const total = SIZES.reduce((sum, size) => sum + size, 0);
  return SIZES.flatMap((size, organisation) => {
    const random = createRandom(seed + organisation);
    const perMs = (USUAL_PER_SECOND * size) / total / 1000;
    const prompts: Prompt[] = [];
    for (let at = 0; at < END_MS;) {
      const isHot = organisation === hot && at >= HOT_FROM_MS && at < HOT_FROM_MS + HOT_MS;
      at += -Math.log(1 - random()) / (perMs * (isHot ? factor : 1));
      prompts.push({ at, tokens: Math.round(800 + random() * 1700), organisation });
    }
    return prompts;
  }).sort((left, right) => left.at - right.at);
}

/** Plays an engine that prefills granted prompts one after the other; returns what became of each. */
function simulate(prompts: readonly Prompt[], isFair: boolean) {
  const timers: { at: number; callback: () => void }[] = [];
  const mean = SIZES.reduce((sum, size) => sum + size, 0) / SIZES.length;
  const engine = { now: 0, freeAt: 0 };
  const setTimer = (delayMs: number, callback: () => void) =>
    timers.push({ at: engine.now + delayMs, callback });
  const queue = createPrefillQueue(setTimer, (name) => SIZES[Number(name)] / mean);
  const results = prompts.map((prompt) => ({ prompt, isServed: false }));
  const arrive = (result: (typeof results)[number], id: string) => {
    const { tokens, organisation, at } = result.prompt;
    const onTimeMs = OBJECTIVE_MS - getPrefillMs(tokens) - FIRST_EVENT_MARGIN_MS;
    const request = { id, tokens, urgency: 1, onTimeMs, pauseMs: PAUSE_MS };
    const owner = isFair ? { organisation: String(organisation) } : {};
    queue.request(engine.now, { ...request, ...owner }, onTimeMs + TOLERATED_LATENESS_MS, () => {
      engine.freeAt = Math.max(engine.freeAt, engine.now) + getPrefillMs(tokens);
      Object.assign(result, { isServed: engine.freeAt <= at + OBJECTIVE_MS });
      setTimer(engine.freeAt - engine.now, () => queue.finish(engine.now, id));
    });
  };
  const runDueTimers = () =>
    timers
      .splice(0)
      .forEach((timer) => (timer.at <= engine.now ? timer.callback() : timers.push(timer)));
  let arrived = 0;
  for (; engine.now < END_MS + 3000; engine.now += 1) {
    while (arrived < results.length && prompts[arrived].at <= engine.now) {
      arrive(results[arrived], String(arrived));
      arrived += 1;
    }
    runDueTimers();
  }
  return results;
}

/** Returns the part of the prompts of the hot phase that were served within their objective. */
function getShare(
  results: ReturnType<typeof simulate>,
  isCounted: (prompt: Prompt) => boolean,
): number {
  const counted = results.filter(
    ({ prompt }) =>
      isCounted(prompt) && prompt.at >= HOT_FROM_MS && prompt.at < HOT_FROM_MS + HOT_MS,
  );
  return counted.filter(({ isServed }) => isServed).length / counted.length;
}
