import { expect } from 'chai';
import fc from 'fast-check';
import createRandom from '../../bench/createRandom';
import getMergedInFlight from '../../src/load/getMergedInFlight';
import type Candidate from '../../src/upstream/Candidate';
import chooseUpstream from '../../src/upstream/chooseUpstream';
import createUpstreamHealth from '../../src/upstream/createUpstreamHealth';
import sampleUpstreams from '../../src/upstream/sampleUpstreams';
import type Upstream from '../../src/upstream/Upstream';
import playChoices from './playChoices';

const UPSTREAMS = Array.from({ length: 63 }, (_, index) => createUpstream(index));
const ENGINES = {
  vms: 58,
  speeds: UPSTREAMS.map((_, index) => [0.7, 0.7, 1.7][index % 3]),
  slots: 16,
  perSecond: 341,
  workMs: 1200,
  objectiveMs: 2600,
  /** With fewer requests for each engine, chance alone exceeds the target of 1.3 times the share. */
  durationMs: 40_000,
};

describe('choice of upstreams', () => {
  it('is that of before for upstreams that state no load', () => {
    // Guards against a change of deployments whose upstreams state nothing.
    const candidate = fc.record({
      id: fc.string(),
      dataCentre: fc.constantFrom('x', 'y'),
      slots: fc.integer({ min: 1, max: 64 }),
      inFlight: fc.nat(100),
      waitMs: fc.nat(1000),
      failureRate: fc.double({ min: 0, max: 1, noNaN: true }),
      relativeLatency: fc.double({ min: 0.7, max: 8, noNaN: true }),
      isSuspended: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(candidate), (candidates) => {
        expect(chooseUpstream(candidates, 'x')).to.equal(chooseAsBefore(candidates, 'x'));
      }),
    );
  });

  it('compares latencies with the median of all peers, as before', () => {
    fc.assert(
      fc.property(fc.array(fc.option(fc.double({ min: 0, max: 1e4, noNaN: true }))), (known) => {
        const health = createUpstreamHealth();
        const ids = known.map((_, index) => `u${index}`);
        known.forEach((ms, index) => ms !== null && health.recordSuccess(0, ids[index], ms));
        const latencies = known.filter((ms) => ms !== null).sort((left, right) => left - right);
        const median = Math.max(1, latencies[Math.floor((latencies.length - 1) / 2)]);
        const compare = health.compareLatencies(ids);
        known.forEach((ms, index) => {
          const isCompared = ms !== null && latencies.length > 1;
          const expected = isCompared ? Math.min(8, Math.max(0.7, ms / median)) : 1;
          expect(compare(ids[index])).to.equal(expected);
        });
      }),
    );
  });

  it('examines a bounded number of upstreams, and prefers those of the own data centre', () => {
    // Guards against a cost of each request that grows with the number of upstreams.
    const random = createRandom(3);
    const many = Array.from({ length: 1000 }, (_, index) => createUpstream(index));
    let examined = 0;
    const examine = () => {
      examined += 1;
      return true;
    };
    for (let index = 0; index < 1000; index += 1) {
      expect(new Set(sampleUpstreams(many, 'd1', random, examine)).size).to.equal(3);
    }
    expect(examined).to.be.lessThan(6000);
    const usable = sampleUpstreams(many, 'd1', random, ({ dataCentre }) => dataCentre === 'd2');
    expect(usable.map(({ dataCentre }) => dataCentre)).to.deep.equal(['d2', 'd2', 'd2']);
    expect(sampleUpstreams(many, 'd1', random, () => false)).to.deep.equal([]);
  });

  it('shifts the counted requests by a bounded number for a false statement', () => {
    expect(getMergedInFlight(8, undefined, 16)).to.equal(8);
    expect(getMergedInFlight(8, { inFlight: 10_000, ageMs: 0 }, 16)).to.equal(32);
    expect(getMergedInFlight(8, { inFlight: 0, ageMs: 0 }, 16)).to.equal(4);
    expect(getMergedInFlight(8, { inFlight: 0, ageMs: 1500 }, 16)).to.equal(8);
  });

  it('does not send the requests of 58 VMs with old counts to the same engines', () => {
    // Guards against herding: the best of all upstreams gets the requests of all VMs until the next
    // counts. Engines with 0.7 and 1.7 of the mean speed are slow by 2.5 for 15 % of the time.
    const play = (isSampled: boolean) => {
      const random = createRandom(11);
      return playChoices({
        ...ENGINES,
        random,
        choose: (candidates, dataCentre) => {
          const ids = sampleUpstreams(UPSTREAMS, dataCentre, random, () => true).map(
            ({ id }) => id,
          );
          const considered = candidates.filter(({ id }) => !isSampled || ids.includes(id));
          return chooseUpstream(
            considered.map((candidate) => ({ ...candidate, isLoadStated: isSampled })),
            dataCentre,
          );
        },
      });
    };
    const before = play(false);
    const after = play(true);
    expect(after.latePart).to.be.lessThan(before.latePart / 3);
    expect(after.busiestOfShare).to.be.lessThan(1.3);
    expect(after.busiestInWindow).to.be.lessThan(before.busiestInWindow / 2);
  });
});

function createUpstream(index: number): Upstream {
  return { id: `u${index}`, dataCentre: `d${index % 4}` } as Upstream;
}

/** The choice before upstreams stated their load, as a reference. */
function chooseAsBefore(candidates: Candidate[], dataCentre: string): Candidate | undefined {
  const available = candidates.filter((candidate) => !candidate.isSuspended);
  const getCost = (candidate: Candidate) =>
    ((candidate.inFlight + 1) / candidate.slots) *
      candidate.relativeLatency *
      (1 + 6 * candidate.failureRate) +
    candidate.waitMs / 400 +
    (candidate.dataCentre === dataCentre ? 0 : 0.1);
  return (available.length > 0 ? available : candidates).reduce<Candidate | undefined>(
    (best, candidate) =>
      best === undefined || getCost(candidate) < getCost(best) ? candidate : best,
    undefined,
  );
}
