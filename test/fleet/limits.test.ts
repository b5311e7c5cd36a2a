import { expect } from 'chai';
import createTestFleet from './createTestFleet';

/** From this time after a limit was first stated, all VMs keep it. */
const CONTACT_MS = 3000;
const WINDOW_MS = 4000;
/** Requests that an upstream may get beyond its limit in a window: a ratio, and a number. */
const EXCESS_RATIO = 1.5;
const EXCESS_REQUESTS = 5;
/** A limit counts as used if this part of it is taken. */
const MIN_USED = 0.75;
const IMMEDIATE_MS = 100;

type Fleet = ReturnType<typeof createTestFleet>;

describe('limits that upstreams state', () => {
  [8, 61].forEach((vms) => {
    [0.2, 1.8, 40].forEach((perSecond) => {
      it(`are kept by ${vms} VMs together, and used (${perSecond} a second)`, async () => {
        const fleet = createTestFleet({ vms, desks: 3 });
        await fleet.start();
        const results = fleet.sendCalls(Math.max(100, perSecond * 5), 16_000);
        await fleet.clock.advance(1000);
        fleet.desks.setLimit('desk-1', perSecond);
        const statedAt = fleet.clock.now();
        await fleet.clock.advance(16_000);
        expectLimitKept(fleet, 'desk-1', perSecond, statedAt);
        expectLimitUsed(fleet, 'desk-1', perSecond, statedAt, statedAt + 15_000);
        expect(results.filter(({ status }) => status !== 200)).to.deep.equal([]);
      });
    });
  });

  it('of all upstreams of a service are used, and the rest is refused at once', async () => {
    const fleet = createTestFleet({ vms: 8, desks: 2 });
    await fleet.start();
    const results = fleet.sendCalls(30, 15_000);
    fleet.desks.setLimit('desk-1', 1.8);
    fleet.desks.setLimit('desk-2', 4);
    const statedAt = fleet.clock.now();
    await fleet.clock.advance(16_000);
    expectLimitKept(fleet, 'desk-1', 1.8, statedAt);
    expectLimitKept(fleet, 'desk-2', 4, statedAt);
    expectLimitUsed(fleet, 'desk-1', 1.8, statedAt, statedAt + 15_000);
    expectLimitUsed(fleet, 'desk-2', 4, statedAt, statedAt + 15_000);
    const refused = results.filter(({ status }) => status === 503);
    expect(refused).not.to.have.length(0);
    refused.forEach(({ ms, retryAfterMs }) => {
      expect(ms).to.be.at.most(IMMEDIATE_MS);
      expect(retryAfterMs).to.be.greaterThan(0);
    });
  });

  it('let refused callers be served who return at the stated time', async () => {
    const fleet = createTestFleet({ vms: 8, desks: 1 });
    await fleet.start();
    fleet.desks.setLimit('desk-1', 2);
    fleet.sendCalls(2, 8000);
    await fleet.clock.advance(9000);
    const attemptCounts: number[] = [];
    const callUntilServed = async (vm: string, attempt = 1): Promise<void> => {
      const { status, retryAfterMs } = await fleet.sendCall(vm);
      if (status === 200) {
        attemptCounts.push(attempt);
        return;
      }
      await new Promise<void>((resolve) => {
        fleet.clock.setTimer(retryAfterMs, resolve);
      });
      await callUntilServed(vm, attempt + 1);
    };
    Array.from({ length: 16 }, (_, index) => callUntilServed(fleet.addresses[index % 8]));
    await fleet.clock.advance(16_000);
    expect(attemptCounts).to.have.length(16);
    const mean = attemptCounts.reduce((sum, count) => sum + count, 0) / attemptCounts.length;
    expect(mean).to.be.at.most(3);
  });

  it('are known to a VM that starts later, within the contact time', async () => {
    const fleet = createTestFleet({ vms: 8, desks: 2 });
    const late = fleet.addresses.at(-1)!;
    await fleet.start(fleet.addresses.slice(0, -1));
    fleet.desks.setLimit('desk-1', 1.8);
    fleet.sendCalls(20, 500);
    await fleet.clock.advance(1000);
    const startedAt = fleet.clock.now();
    fleet.vms.get(late)!.start();
    await fleet.clock.advance(CONTACT_MS);
    expect(getKnownLimits(fleet, late)).to.deep.equal([1.8]);
    expect(countArrivals(fleet, 'desk-1', startedAt, Infinity)).to.equal(0);
  });

  it('are kept while VMs are killed and start again, and used soon after', async () => {
    const fleet = createTestFleet({ vms: 8, desks: 2 });
    await fleet.start();
    fleet.sendCalls(60, 40_000);
    await fleet.clock.advance(1000);
    fleet.desks.setLimit('desk-1', 10);
    const statedAt = fleet.clock.now();
    await fleet.clock.advance(4000);
    for (const vm of fleet.addresses) {
      fleet.restartVm(vm, 800);
      await fleet.clock.advance(4000);
    }
    expectLimitKept(fleet, 'desk-1', 10, statedAt);
    expectLimitUsed(fleet, 'desk-1', 10, statedAt, fleet.clock.now(), 0.5);
  });

  it('are kept when they rise and fall, and end with the upstream that stated them', async () => {
    const fleet = createTestFleet({ vms: 8, desks: 2 });
    await fleet.start();
    fleet.sendCalls(80, 40_000);
    const getRate = async (forMs: number) => {
      const since = fleet.clock.now();
      await fleet.clock.advance(forMs);
      return countArrivals(fleet, 'desk-1', since, fleet.clock.now()) / (forMs / 1000);
    };
    fleet.desks.setLimit('desk-1', 2);
    await fleet.clock.advance(5000);
    expect(await getRate(4000)).to.be.within(1.5, 3 + 1.25);
    fleet.desks.setLimit('desk-1', 20);
    await fleet.clock.advance(2000);
    expect(await getRate(4000)).to.be.within(15, 30);
    fleet.desks.setLimit('desk-1', 1);
    await fleet.clock.advance(2000);
    expect(await getRate(4000)).to.be.at.most(1.5 + 1.25);
    fleet.desks.setLimit('desk-1', undefined);
    await fleet.clock.advance(3000);
    expect(await getRate(2000)).to.be.greaterThan(30);
    fleet.desks.setLimit('desk-1', 0);
    await fleet.clock.advance(CONTACT_MS);
    expect(await getRate(4000)).to.be.at.most(1.25);
    fleet.desks.restart('desk-1');
    await fleet.clock.advance(1000);
    expect(await getRate(2000)).to.be.greaterThan(30);
  });

  it('of zero are lifted after the upstream has stopped to state them', async () => {
    const fleet = createTestFleet({ vms: 8, desks: 1 });
    await fleet.start();
    fleet.sendCalls(20, 40_000);
    fleet.desks.setLimit('desk-1', 0);
    await fleet.clock.advance(8000);
    fleet.desks.setLimit('desk-1', undefined);
    await fleet.clock.advance(12_000);
    const since = fleet.clock.now();
    await fleet.clock.advance(2000);
    expect(countArrivals(fleet, 'desk-1', since, since + 2000)).to.be.greaterThan(30);
  });
});

function countArrivals(fleet: Fleet, desk: string, from: number, to: number): number {
  return fleet.desks.arrivals.filter(
    ({ upstream, at }) => upstream === desk && at >= from && at < to,
  ).length;
}

/** Expects that no window after the contact time has more arrivals than the contract allows. */
function expectLimitKept(fleet: Fleet, desk: string, perSecond: number, statedAt: number): void {
  const allowed = (EXCESS_RATIO * perSecond * WINDOW_MS) / 1000 + EXCESS_REQUESTS;
  const most = fleet.desks.arrivals
    .filter(({ upstream, at }) => upstream === desk && at >= statedAt + CONTACT_MS)
    .map(({ at }) => countArrivals(fleet, desk, at, at + WINDOW_MS))
    .reduce((left, right) => Math.max(left, right), 0);
  expect(most, 'requests in a window').to.be.at.most(allowed);
}

function expectLimitUsed(
  fleet: Fleet,
  desk: string,
  perSecond: number,
  statedAt: number,
  until: number,
  minUsed = MIN_USED,
): void {
  const since = statedAt + CONTACT_MS;
  const taken = countArrivals(fleet, desk, since, until);
  expect(taken, 'requests taken').to.be.at.least(
    Math.floor((minUsed * perSecond * (until - since)) / 1000),
  );
}

function getKnownLimits(fleet: Fleet, address: string): unknown[] {
  return fleet.events
    .filter(({ vm, name }) => vm === address && name === 'upstreamLimited')
    .map(({ fields }) => fields.perSecond);
}
