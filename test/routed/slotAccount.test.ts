import { expect } from 'chai';
import fc from 'fast-check';
import createRandom from '../../bench/createRandom';
import createEventQueue from '../../bench/createEventQueue';
import createSlotAccount from '../../src/slots/createSlotAccount';
import createSpeedEstimate from '../../src/slots/createSpeedEstimate';
import type SlotDecision from '../../src/slots/SlotDecision';
import type SlotOutcome from '../../src/slots/SlotOutcome';
import type SlotRequest from '../../src/slots/SlotRequest';
import type Upstream from '../../src/upstream/Upstream';

const SLOTS = 6;
const SERVICE_MS = 64;
const UPSTREAMS = ['u1', 'u2', 'u3'];
const CAPACITY = (UPSTREAMS.length * SLOTS * 1000) / SERVICE_MS;

describe('createSlotAccount', () => {
  it('never grants more than the slots, whatever ends or is lost', () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            step: fc.constantFrom('add', 'end', 'lose', 'wait'),
            outcome: fc.constantFrom<SlotOutcome>('done', 'unsent', 'aborted', 'lost', 'full'),
            ms: fc.integer({ min: 1, max: 90 }),
          }),
          { maxLength: 120 },
        ),
        (steps) => {
          const test = createTestAccount();
          steps.forEach(({ step, outcome, ms }) => {
            if (step === 'add') {
              test.add();
            } else if (step === 'end') {
              test.end(outcome);
            } else if (step === 'wait') {
              test.wait(ms);
            }
            expect(test.getMostHeld()).to.be.at.most(SLOTS);
          });
        },
      ),
    );
  });

  it('leaves no slot idle while a request waits', () => {
    fc.assert(
      fc.property(
        fc.array(fc.constantFrom('add', 'add', 'done', 'unsent', 'wait'), { maxLength: 150 }),
        (steps) => {
          const test = createTestAccount();
          steps.forEach((step) => {
            if (step === 'add') {
              test.add();
            } else if (step === 'wait') {
              test.wait(30);
            } else {
              test.end(step);
            }
            if (test.account.getWaiting().length > 0) {
              expect(test.getHeld()).to.equal(UPSTREAMS.length * SLOTS);
            }
          });
        },
      ),
    );
  });

  it('grants a free slot at once, and the next one as soon as one becomes free', () => {
    const test = createTestAccount();
    const granted = Array.from({ length: 18 }, () => test.add());
    expect(granted.every((decision) => decision?.kind === 'granted')).to.equal(true);
    expect(test.add()).to.equal(undefined);
    expect(test.end('done').map(({ kind }) => kind)).to.deep.equal(['granted']);
  });

  it('serves requests that can meet their objective first, then by urgency and objective', () => {
    const test = createTestAccount();
    Array.from({ length: 18 }, () => test.add());
    test.add({ objectiveMs: 10 });
    test.add({ objectiveMs: 900, urgency: 1 });
    test.add({ objectiveMs: 800, urgency: 1 });
    test.add({ objectiveMs: 950, urgency: 0 });
    const order = Array.from({ length: 4 }, () => test.end('done')[0].request);
    const { now } = test;
    expect(order.map(({ objectiveAt }) => objectiveAt - now())).to.deep.equal([950, 800, 900, 10]);
  });

  it('refuses at once what can not be served before its deadline, with the time until it could', () => {
    const test = createTestAccount();
    Array.from({ length: 18 + 28 }, () => test.add({ deadlineMs: 2000, objectiveMs: 1900 }));
    const refused = test.add({ deadlineMs: 100, objectiveMs: 90 });
    expect(refused?.kind).to.equal('refused');
    // 29 requests at 18 slots, each for the 100 ms that are assumed before the first response.
    const retryAfterMs = refused?.kind === 'refused' ? refused.retryAfterMs : 0;
    expect(retryAfterMs).to.be.within(5, 200);
  });

  it('sends a retry to another upstream than the one that failed', () => {
    const test = createTestAccount();
    const decision = test.add({ excluded: ['u1', 'u3'] });
    expect(decision).to.include({ kind: 'granted', upstream: 'u2' });
    expect(test.add({ excluded: UPSTREAMS })?.kind).to.equal('unknown');
  });

  it('gives a slot out again after its lease, if its holder never ends it', () => {
    const test = createTestAccount();
    Array.from({ length: 18 }, () => test.add({ deadlineMs: 1500 }));
    expect(test.add({ deadlineMs: 5000, objectiveMs: 4000 })).to.equal(undefined);
    expect(test.wait(1499)).to.deep.equal([]);
    expect(test.wait(2)).to.have.length(1);
  });

  it('ends the grants that a VM no longer counts, and those of a VM that is gone', () => {
    const test = createTestAccount();
    Array.from({ length: 18 }, () => test.add());
    test.wait(600);
    test.account.reconcile(test.now(), 'vm', 17, []);
    expect(test.add()?.kind).to.equal('granted');
    test.account.releaseAll('vm');
    expect(Array.from({ length: 18 }, () => test.add()?.kind)).not.to.include(undefined);
  });

  it('counts requests that VMs have in progress without a grant', () => {
    const test = createTestAccount();
    test.account.reconcile(test.now(), 'other', 0, [
      ['u1', 5],
      ['u2', 6],
    ]);
    const granted = Array.from({ length: 8 }, () => test.add());
    const upstreams = granted.map((decision) =>
      decision?.kind === 'granted' ? decision.upstream : undefined,
    );
    expect(upstreams.filter((upstream) => upstream === 'u1')).to.have.length(1);
    expect(upstreams.filter((upstream) => upstream === 'u3')).to.have.length(6);
    expect(upstreams).to.include(undefined);
  });

  [2, 4, 8].forEach((factor) => {
    it(`shares among organisations if one sends ${factor} times its usual load`, () => {
      // Organisations usually send 60 % of the capacity together, a quarter of it the one that gets hot.
      const usual = CAPACITY * 0.6;
      const rates = new Map([['hot', usual * 0.25 * factor]]);
      Array.from({ length: 9 }, (_, index) => rates.set(`o${index}`, (usual * 0.75) / 9));
      const { parts, servedPerSecond } = simulate(rates);
      const total = [...rates.values()].reduce((sum, rate) => sum + rate, 0);
      const overall = Math.min(1, servedPerSecond / total);
      [...parts].forEach(([organisation, part]) => {
        expect(part.served, organisation).to.be.at.least(overall / 4);
        if (organisation !== 'hot') {
          expect(part.onTime, organisation).to.be.at.least(0.95);
        }
      });
      expect(servedPerSecond).to.be.at.least(Math.min(total, CAPACITY) * 0.93);
    });
  });

  it('uses slots fully while an upstream is slow for some hundred milliseconds', () => {
    const rates = new Map([[undefined, CAPACITY * 0.7]]);
    const { parts } = simulate(rates, (now, upstream) =>
      upstream === UPSTREAMS[Math.floor(now / 1000) % 3] && now % 1000 < 600
        ? SERVICE_MS * 2.5
        : SERVICE_MS,
    );
    expect(parts.get(undefined)!.onTime).to.be.at.least(0.97);
  });
});

function createUpstream(id: string): Upstream {
  return {
    id,
    startedAt: 1,
    service: 's',
    address: id,
    dataCentre: 'x',
    state: 'ready',
    slots: SLOTS,
    softwareVersion: undefined,
    models: [],
  };
}

/** Creates an account with requests of one VM, whose oldest grant `end` ends. */
function createTestAccount() {
  let now = 1000;
  let lastId = 0;
  const speed = createSpeedEstimate();
  const upstreams = UPSTREAMS.map(createUpstream);
  const account = createSlotAccount(
    {
      getUpstreams: () => upstreams,
      getExpectedMs: speed.getExpectedMs,
      recordDuration: speed.record,
      getInFlight: () => 0,
      getFailureRate: () => 0,
    },
    now,
  );
  const held = new Map<number, { upstream: string; until: number }>();

  function collect(decisions: SlotDecision[]): SlotDecision[] {
    decisions.forEach((decision) => {
      if (decision.kind === 'granted') {
        const { upstream, request } = decision;
        held.set(request.id, { upstream, until: request.deadlineAt });
      }
    });
    return decisions;
  }

  function add({
    organisation = undefined as string | undefined,
    urgency = 1,
    objectiveMs = 300,
    deadlineMs = 10_000,
    excluded = [] as string[],
  } = {}): SlotDecision | undefined {
    lastId += 1;
    const request: SlotRequest = {
      vm: 'vm',
      id: lastId,
      organisation,
      urgency,
      objectiveAt: now + objectiveMs,
      deadlineAt: now + deadlineMs,
      dataCentre: 'x',
      excluded,
    };
    account.add(now, request);
    const decision = collect(account.settle(now)).find((made) => made.request === request);
    return decision ?? account.tryRefuse(now, request);
  }

  function end(outcome: SlotOutcome): SlotDecision[] {
    const [id] = held.keys();
    if (id !== undefined) {
      held.delete(id);
      account.end(now, 'vm', id, outcome, SERVICE_MS);
    }
    return collect(account.settle(now));
  }

  function wait(ms: number): SlotDecision[] {
    now += ms;
    held.forEach(({ until }, id) => {
      if (until <= now) {
        held.delete(id);
      }
    });
    return collect(account.settle(now, true));
  }

  return {
    account,
    add,
    end,
    wait,
    now: () => now,
    getHeld: () => held.size,
    getMostHeld: () =>
      Math.max(
        ...UPSTREAMS.map(
          (id) => [...held.values()].filter(({ upstream }) => upstream === id).length,
        ),
      ),
  };
}

/** Sends requests of organisations for 10 s, each at its rate; returns the parts that were served. */
function simulate(
  rates: ReadonlyMap<string | undefined, number>,
  getServiceMs: (now: number, upstream: string) => number = () => SERVICE_MS,
) {
  const durationMs = 10_000;
  const random = createRandom(1);
  const speed = createSpeedEstimate();
  const upstreams = UPSTREAMS.map(createUpstream);
  const account = createSlotAccount(
    {
      getUpstreams: () => upstreams,
      getExpectedMs: speed.getExpectedMs,
      recordDuration: speed.record,
      getInFlight: () => 0,
      getFailureRate: () => 0,
    },
    0,
  );
  const events = createEventQueue<(now: number) => void>();
  const counts = new Map<string | undefined, { sent: number; served: number; onTime: number }>();
  let lastId = 0;
  const apply = (now: number, decisions: SlotDecision[]) =>
    decisions.forEach((decision) => {
      if (decision.kind === 'granted') {
        const { request, upstream } = decision;
        const ms = getServiceMs(now, upstream);
        events.push(now + ms, (at) => {
          const count = counts.get(request.organisation)!;
          count.served += 1;
          count.onTime += at <= request.objectiveAt ? 1 : 0;
          account.end(at, 'vm', request.id, 'done', ms);
          apply(at, account.settle(at));
        });
      }
    });
  rates.forEach((perSecond, organisation) => {
    const count = { sent: 0, served: 0, onTime: 0 };
    counts.set(organisation, count);
    Array.from({ length: Math.round((perSecond * durationMs) / 1000) }, () =>
      events.push(random() * durationMs, (now) => {
        count.sent += 1;
        lastId += 1;
        const request: SlotRequest = {
          vm: 'vm',
          id: lastId,
          organisation,
          urgency: 1,
          objectiveAt: now + 317,
          deadlineAt: now + 1500,
          dataCentre: 'x',
          excluded: [],
        };
        account.add(now, request);
        const decisions = account.settle(now);
        apply(now, decisions);
        if (!decisions.some((decision) => decision.request === request)) {
          account.tryRefuse(now, request);
        }
      }),
    );
  });
  Array.from({ length: durationMs / 10 }, (_, index) =>
    events.push(index * 10, (now) => apply(now, account.settle(now, true))),
  );
  for (let event = events.pop(); event && event.at <= durationMs; event = events.pop()) {
    event.value(event.at);
  }
  const served = [...counts.values()].reduce((sum, count) => sum + count.served, 0);
  return {
    servedPerSecond: (served * 1000) / durationMs,
    parts: new Map(
      [...counts].map(([organisation, count]) => [
        organisation,
        { served: count.served / count.sent, onTime: count.onTime / count.sent },
      ]),
    ),
  };
}
