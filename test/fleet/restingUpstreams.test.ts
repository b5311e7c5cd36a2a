import { expect } from 'chai';
import createTestFleet from './createTestFleet';

/** Requests under way when a VM was told still arrive in this time. */
const UNDER_WAY_MS = 500;
/** Requests that may reach an upstream from a VM in the rest of the time it wants none. */
const MAX_ARRIVALS = 2;
const REST_MS = 4000;
const DEADLINE_MS = 10_000;
const IMMEDIATE_MS = 150;

type Fleet = ReturnType<typeof createTestFleet>;

describe('upstreams that want no requests of a VM for some time', () => {
  [8, 61].forEach((vms) => {
    it(`get none of it, and the others serve (${vms} VMs)`, async () => {
      const fleet = createTestFleet({ vms, desks: 6 });
      await fleet.start();
      const results = fleet.sendCalls(200, 12_000);
      await fleet.clock.advance(2000);
      fleet.desks.turnAway(['desk-1', 'desk-2'], REST_MS, 1000);
      await fleet.clock.advance(11_000);
      expect(getMostArrivals(fleet, REST_MS)).to.be.at.most(MAX_ARRIVALS);
      expect(results.filter(({ status }) => status !== 200)).to.deep.equal([]);
    });

    it(`refuse callers at once if all of a service do, at spread times (${vms} VMs)`, async () => {
      const fleet = createTestFleet({ vms, desks: 2 });
      await fleet.start();
      const results = fleet.sendCalls(200, 5000);
      fleet.desks.turnAway(['desk-1', 'desk-2'], REST_MS, REST_MS);
      const until = fleet.clock.now() + REST_MS;
      await fleet.clock.advance(6000);
      expect(getMostArrivals(fleet, REST_MS)).to.be.at.most(MAX_ARRIVALS);
      const refused = results.filter(({ status }) => status === 503);
      expect(refused).not.to.have.length(0);
      const returns = refused.map(({ sentAt, ms, retryAfterMs }) => {
        expect(ms).to.be.at.most(IMMEDIATE_MS);
        expect(retryAfterMs).to.be.within(1, DEADLINE_MS / 3);
        return Math.round((sentAt + retryAfterMs) / 100);
      });
      const counts = returns.map((time) => returns.filter((other) => other === time).length);
      expect(Math.max(...counts)).to.be.lessThan(refused.length / 4);
      const early = refused.filter(
        ({ sentAt, retryAfterMs }) =>
          until - sentAt < DEADLINE_MS / 3 && sentAt + retryAfterMs < until - UNDER_WAY_MS,
      );
      expect(early.length).to.be.at.most(refused.length / 10);
    });
  });

  it('are used again after that time, and by their next incarnation', async () => {
    const fleet = createTestFleet({ vms: 8, desks: 2 });
    await fleet.start();
    fleet.sendCalls(100, 20_000);
    fleet.desks.turnAway(['desk-1'], 6000, 500);
    fleet.desks.turnAway(['desk-2'], 1000, 500);
    await fleet.clock.advance(1000);
    const since = fleet.clock.now();
    await fleet.clock.advance(3000);
    expect(countArrivals(fleet, 'desk-1', since)).to.be.at.most(MAX_ARRIVALS * 8);
    expect(countArrivals(fleet, 'desk-2', since)).to.be.greaterThan(100);
    fleet.desks.restart('desk-1');
    await fleet.clock.advance(500);
    const restartedAt = fleet.clock.now();
    await fleet.clock.advance(1000);
    expect(countArrivals(fleet, 'desk-1', restartedAt)).to.be.greaterThan(20);
  });
});

function countArrivals(fleet: Fleet, id: string, since: number): number {
  return fleet.desks.arrivals.filter(({ upstream, at }) => upstream === id && at >= since).length;
}

/** Returns the most requests that reached an upstream from one VM in a time of rest. */
function getMostArrivals(fleet: Fleet, restMs: number): number {
  const { arrivals, turnedAway } = fleet.desks;
  return Math.max(
    0,
    ...turnedAway.map(
      (told) =>
        arrivals.filter(
          ({ vm, upstream, at }) =>
            vm === told.vm &&
            upstream === told.upstream &&
            at > told.at + UNDER_WAY_MS &&
            at < told.at + restMs,
        ).length,
    ),
  );
}
