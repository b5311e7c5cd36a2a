import { expect } from 'chai';
import fc from 'fast-check';
import createPace from '../../src/pace/createPace';
import createPaceTriggers from '../../src/pace/createPaceTriggers';
import type Candidate from '../../src/upstream/Candidate';
import chooseUpstream from '../../src/upstream/chooseUpstream';
import type Upstream from '../../src/upstream/Upstream';

const UPSTREAM = { id: 'u', startedAt: 1, slots: 16, service: 's' } as Upstream;

describe('pace of upstreams that have just started or recovered', () => {
  it('doubles while the upstream answers in time, and then ends', () => {
    const { pace, log } = createTestPace();
    pace.begin(0, UPSTREAM, 'started', 0);
    expect(pace.getLimit(0, UPSTREAM)).to.equal(2);
    answer(pace, 0, 400);
    expect(pace.getLimit(400, UPSTREAM)).to.equal(4);
    answer(pace, 500, 900);
    expect(pace.getLimit(900, UPSTREAM)).to.equal(8);
    answer(pace, 1000, 3000);
    expect(pace.getLimit(3000, UPSTREAM)).to.equal(Infinity);
    expect(log.map(({ reason }) => reason)).to.deep.equal(['started', 'ended']);
  });

  it('falls at once when the upstream rejects or slows down, once for what was sent before', () => {
    const { pace } = createTestPace();
    pace.begin(0, UPSTREAM, 'outage', 12);
    expect(pace.getLimit(0, UPSTREAM)).to.equal(12);
    [0, 1, 2].forEach((now) => pace.recordRejection(now, 'u'));
    expect(pace.getLimit(2, UPSTREAM)).to.equal(6);
    [600, 601, 602].forEach((now) => pace.recordAnswer(now, 'u', 3));
    expect(pace.getLimit(602, UPSTREAM)).to.equal(4.5);
    answer(pace, 700, 1000);
    expect(pace.getLimit(1000, UPSTREAM)).to.equal(6.5);
    pace.recordWaiting(1200, 'u', 4);
    expect(pace.getLimit(1200, UPSTREAM)).to.be.at.least(6.5);
    pace.recordWaiting(1200, 'u', 5);
    expect(pace.getLimit(1200, UPSTREAM)).to.equal(6.5 * 0.75);
  });

  it('applies to one incarnation, and ends if no answers come', () => {
    // Guards against a pace that outlives its reason and idles an upstream.
    const { pace, getCount } = createTestPace();
    pace.begin(0, UPSTREAM, 'started', 0);
    expect(pace.getLimit(0, { ...UPSTREAM, startedAt: 2 })).to.equal(Infinity);
    pace.begin(1, { ...UPSTREAM, startedAt: 2 }, 'started', 0);
    expect(pace.getLimit(1, { ...UPSTREAM, startedAt: 2 })).to.equal(2);
    expect(getCount()).to.equal(1);
    expect(pace.getLimit(20_000, { ...UPSTREAM, startedAt: 2 })).to.equal(Infinity);
    expect(getCount()).to.equal(0);
  });

  it('lets at least two requests through, and no more than twice as many each half second', () => {
    const signal = fc.tuple(fc.nat(300), fc.constantFrom(0.5, 1, 1.9, 3, 8, 'rejection'));
    fc.assert(
      fc.property(fc.array(signal, { maxLength: 200 }), (signals) => {
        const { pace } = createTestPace();
        let now = 0;
        const limits: [number, number][] = [];
        pace.begin(0, UPSTREAM, 'suspended', 0);
        signals.forEach(([afterMs, value]) => {
          now += afterMs;
          if (value === 'rejection') {
            pace.recordRejection(now, 'u');
          } else {
            pace.recordAnswer(now, 'u', Number(value));
          }
          const limit = pace.getLimit(now, UPSTREAM);
          expect(limit).to.be.at.least(2);
          const recent = limits.filter(([at]) => now - at < 500).map(([, known]) => known);
          if (limit !== Infinity) {
            // Two windows of half a second touch the last half second.
            expect(limit).to.be.at.most(4 * Math.min(limit, ...recent));
            limits.push([now, limit]);
          }
        });
      }),
    );
  });

  it('avoids an upstream at its pace, but uses it if there is no other', () => {
    const atPace = createCandidate('a', { isAtPace: true });
    const busy = createCandidate('b', { inFlight: 7 });
    expect(chooseUpstream([atPace, busy], 'x')!.id).to.equal('b');
    expect(chooseUpstream([atPace], 'x')!.id).to.equal('a');
    const suspended = createCandidate('c', { isSuspended: true });
    expect(chooseUpstream([atPace, suspended], 'x')!.id).to.equal('a');
  });

  it('begins with each incarnation once, and for all after an outage of the store', () => {
    const begun: [string, number, string, number][] = [];
    let isReachable = true;
    let isStated = false;
    const triggers = createPaceTriggers(
      {
        isStated: () => isStated,
        tryGetUpstream: () => UPSTREAM,
        isServiceReachable: () => isReachable,
        getUpstreams: () => [UPSTREAM],
        getInFlight: () => 5,
      },
      {
        begin: (_, { id, startedAt }, cause, inFlight) =>
          begun.push([id, startedAt, cause, inFlight]),
      },
      { startedAt: 0 },
    );
    // Upstreams that state no load get no pace.
    [100, 1300, 9000].forEach((now) => triggers.observeRegistration(now, UPSTREAM));
    triggers.observeSuspension(9000, UPSTREAM);
    triggers.observeRegistration(9050, { ...UPSTREAM, startedAt: 2 });
    expect(begun).to.deep.equal([]);
    isStated = true;
    triggers.observeFirstStatement(200, 'u');
    triggers.observeFirstStatement(9080, 'u');
    [9100, 9200].forEach((now) => triggers.observeRegistration(now, { ...UPSTREAM, startedAt: 3 }));
    [true, false, false, true, true].forEach((state, index) => {
      isReachable = state;
      triggers.refresh(10_000 + index);
    });
    expect(begun).to.deep.equal([
      ['u', 1, 'newVm', 5],
      ['u', 3, 'started', 5],
      ['u', 1, 'outage', 5],
    ]);
  });
});

function createTestPace() {
  const log: Record<string, unknown>[] = [];
  let count = 0;
  const pace = createPace({
    setPacedCount: (next) => {
      count = next;
    },
    countFall: () => {},
    log: (_: string, fields: Record<string, unknown> = {}) => log.push(fields),
  });
  return { pace, log, getCount: () => count };
}

/** Records answers in time, one every 10 ms. */
function answer(pace: ReturnType<typeof createPace>, from: number, to: number): void {
  for (let now = from; now <= to; now += 10) {
    pace.recordAnswer(now, 'u', 1);
  }
}

function createCandidate(id: string, values: Partial<Candidate>): Candidate {
  return {
    id,
    dataCentre: 'x',
    slots: 8,
    inFlight: 0,
    waitMs: 0,
    failureRate: 0,
    relativeLatency: 1,
    isSuspended: false,
    ...values,
  };
}
