import { expect } from 'chai';
import createTestFleet from './createTestFleet';

/** From this time after a partition began, first attempts at partitioned VMs count. */
const CONTACT_MS = 3000;
const CUT_MS = 12_000;
/** First attempts that may fail: a number, and a ratio of all. */
const TOLERATED_FAILURES = 10;
const TOLERATED_RATIO = 1 / 50;
const MIN_SERVED_RATIO = 2 / 3;
/** Part of the first attempts that the other VMs serve meanwhile. */
const MIN_SERVED_ELSEWHERE = 0.95;
const MODES = ['hang', 'reset', 'refused'] as const;

type Fleet = ReturnType<typeof createTestFleet>;
type Results = ReturnType<Fleet['sendCalls']>;

describe('VMs that reach no upstream', () => {
  [8, 61].forEach((vms) => {
    MODES.forEach((mode) => {
      it(`serve first attempts like the others (${vms} VMs, half of them, connections: ${mode})`, async () => {
        const fleet = createTestFleet({ vms, desks: 6, engines: 3 });
        await fleet.start();
        const cut = fleet.addresses.slice(0, Math.floor(vms / 2));
        const { results, since } = await play(fleet, cut, mode);
        expectServed(results, cut, since);
        expectRunOnce(fleet);
        expect(fleet.events.filter(({ name }) => name === 'upstreamEnded')).to.have.length(0);
      });
    });
  });

  it('serve first attempts like the others if all but one VM are partitioned', async () => {
    const fleet = createTestFleet({ vms: 8, desks: 6, engines: 3 });
    await fleet.start();
    const cut = fleet.addresses.slice(1);
    const { results, since } = await play(fleet, cut, 'hang');
    expectServed(results, cut, since);
    expectRunOnce(fleet);
  });

  it('end no sound request for good: none is blocked as one that crashes upstreams', async () => {
    const fleet = createTestFleet({ vms: 8, desks: 6, engines: 3 });
    await fleet.start();
    const cut = fleet.addresses.slice(0, 4);
    for (let round = 0; round < 5; round += 1) {
      const calls = Array.from({ length: 24 }, (_, index) =>
        fleet.sendCall(cut[index % cut.length], '/look/same'),
      );
      await fleet.clock.advance(20);
      cut.forEach((vm) => fleet.partitions.partition(vm, 'reset'));
      await fleet.clock.advance(1500);
      cut.forEach((vm) => fleet.partitions.heal(vm));
      await fleet.clock.advance(1500);
      await Promise.all(calls);
    }
    const after = fleet.sendCalls(60, 2000, () => '/look/same');
    await fleet.clock.advance(5000);
    expect(fleet.events.filter(({ name }) => name === 'traitBlocked')).to.have.length(0);
    expect(after.filter(({ status }) => status !== 200)).to.have.length(0);
  });

  it('refuse or fail requests, and pass none around, if all VMs are partitioned', async () => {
    const fleet = createTestFleet({ vms: 8, desks: 6, engines: 3 });
    await fleet.start();
    const { results, since } = await play(fleet, fleet.addresses, 'reset');
    const late = results.filter(({ sentAt }) => sentAt >= since && sentAt < since + 6000);
    expect(late.filter(({ status }) => ![502, 503].includes(status))).to.have.length(0);
    expect(Math.max(...late.map(({ ms }) => ms))).to.be.at.most(1000);
    await fleet.clock.advance(3000);
    const after = fleet.sendCalls(60, 2000);
    await fleet.clock.advance(5000);
    expect(after.filter(({ status }) => status !== 200)).to.have.length(0);
  });
});

/** Partitions VMs while calls are sent; returns the calls, and the time from which they count. */
async function play(fleet: Fleet, cut: readonly string[], mode: (typeof MODES)[number]) {
  const perSecond = Math.max(60, fleet.addresses.length * 3);
  const results = fleet.sendCalls(perSecond, CUT_MS + 4000, (index) =>
    index % 2 === 0 ? `/call/${index}` : `/look/${index}`,
  );
  await fleet.clock.advance(3000);
  const cutAt = fleet.clock.now();
  cut.forEach((vm) => fleet.partitions.partition(vm, mode));
  await fleet.clock.advance(CUT_MS);
  cut.forEach((vm) => fleet.partitions.heal(vm));
  await fleet.clock.advance(14_000);
  return {
    results: results.filter(({ sentAt }) => sentAt < cutAt + CUT_MS),
    since: cutAt + CONTACT_MS,
  };
}

function expectServed(results: Results, cut: readonly string[], since: number): void {
  const counted = results.filter(({ sentAt }) => sentAt >= since);
  const there = counted.filter(({ vm }) => cut.includes(vm));
  const elsewhere = counted.filter(({ vm }) => !cut.includes(vm));
  const getShare = (calls: Results) =>
    calls.filter(({ status }) => status === 200).length / calls.length;
  const failed = there.filter(({ status }) => status !== 200).length;
  expect(getShare(elsewhere), 'served elsewhere').to.be.at.least(MIN_SERVED_ELSEWHERE);
  const isKept =
    getShare(there) >= MIN_SERVED_RATIO * getShare(elsewhere) ||
    failed <= TOLERATED_FAILURES + there.length * TOLERATED_RATIO;
  expect(isKept, `${there.length - failed} of ${there.length} served`).to.equal(true);
}

/** Expects that no call that may run once has reached upstreams twice. */
function expectRunOnce(fleet: Fleet): void {
  const paths = fleet.desks.arrivals
    .map(({ path }) => path)
    .filter((path) => path.startsWith('/call/'));
  expect(new Set(paths).size).to.equal(paths.length);
}
