import { expect } from 'chai';
import fc from 'fast-check';
import LEASE_MS from '../../src/allowances/LEASE_MS';
import getRequestAmount from '../../src/allowances/getRequestAmount';
import type Allowance from '../../src/manifest/Allowance';
import createAllowanceFleet from './createAllowanceFleet';

const LARGE: Allowance = { unit: 'tokens', perSecond: 350_000, burst: 350_000, defaultTokens: 900 };
const SMALL: Allowance = { unit: 'tokens', perSecond: 4200, burst: 4200, defaultTokens: 900 };
const SETTLE_MS = 4000;

const fault = fc.record({
  kind: fc.constantFrom(
    'pause' as const,
    'pauseHolder' as const,
    'restart' as const,
    'restartHolder' as const,
    'restartAll' as const,
    'cut' as const,
    'cutHolder' as const,
    'cutWithStore' as const,
    'heal' as const,
    'loseStore' as const,
    'limit' as const,
  ),
  at: fc.integer({ min: 0, max: 24_000 }),
  durationMs: fc.integer({ min: 50, max: 6000 }),
  vm: fc.integer({ min: 0, max: 1000 }),
  part: fc.double({ min: 0.05, max: 0.95, noNaN: true }),
});
type Fault = typeof fault extends fc.Arbitrary<infer Value> ? Value : never;
type Fleet = ReturnType<typeof createAllowanceFleet>;

describe('allowances', () => {
  (
    [
      [2, 60],
      [8, 60],
      [89, 8],
    ] as const
  ).forEach(([count, numRuns]) => {
    it(`sends no more than the bound by way of ${count} VMs, whatever fails`, async function test() {
      this.timeout(280_000);
      const cases = fc.record({
        seed: fc.integer({ min: 1, max: 1_000_000 }),
        allowance: fc.constantFrom(SMALL, LARGE, { ...LARGE, burst: 0 }),
        faults: fc.array(fault, { maxLength: 14 }),
        lossRate: fc.constantFrom(0, 0.05, 0.3),
        lateRate: fc.constantFrom(0, 0.1),
        overuse: fc.constantFrom(0.5, 2, 6),
        retryRate: fc.constantFrom(0, 0.05),
      });
      await fc.assert(
        fc.asyncProperty(cases, async ({ seed, allowance, faults, overuse, ...rates }) => {
          const fleet = createAllowanceFleet(count, allowance, {
            seed,
            maxHoldMs: 3000,
            ...rates,
          });
          const perRequest = allowance === SMALL ? 1500 : 4000;
          fleet.load((allowance.perSecond * overuse) / perRequest, 30_000, () =>
            Math.ceil(fleet.random() * 2 * perRequest),
          );
          faults.forEach((one) => fleet.schedule(one.at, () => applyFault(fleet, one, allowance)));
          await fleet.advance(30_000);
          expect(fleet.getMostOfBound()).to.be.at.most(1);
          expect(fleet.getMostHolders()).to.be.at.most(1);
        }),
        { numRuns, seed: 7 },
      );
    });
  });

  [SMALL, LARGE].forEach((allowance) =>
    it(`lets 89 VMs use at least 0.95 of ${allowance.perSecond} tokens/s`, async () => {
      const fleet = createAllowanceFleet(89, allowance);
      await fleet.advance(SETTLE_MS);
      const perRequest = allowance === SMALL ? 800 : 4000;
      fleet.load((allowance.perSecond * 3) / perRequest, 24_000, () => perRequest);
      await fleet.advance(24_000);
      const used = fleet.sent
        .filter(({ at }) => at >= SETTLE_MS + 8000)
        .reduce((sum, { amount }) => sum + amount, 0);
      expect(used / (allowance.perSecond * 16)).to.be.at.least(0.95);
      expect(fleet.getMostOfBound()).to.be.at.most(1);
    }),
  );

  it('refuses no request of a small organisation within its allowance', async () => {
    const fleet = createAllowanceFleet(89, SMALL);
    await fleet.advance(SETTLE_MS);
    // The allowance is 1.8 times the usual use.
    fleet.load(SMALL.perSecond / 1.8 / 1500, 60_000, () => 1500);
    await fleet.advance(60_000);
    expect(fleet.refusals.map(({ seen }) => seen)).to.deep.equal([]);
    expect(fleet.getGrantedCount()).to.be.at.least(60);
  });

  it('lends within half a second after all VMs have started at the same time', async () => {
    const fleet = createAllowanceFleet(89, LARGE);
    await fleet.advance(500);
    expect(fleet.getHolders()).to.have.lengthOf(1);
    fleet.load(50, 1000, () => 1000);
    await fleet.advance(1200);
    expect(fleet.refusals.length).to.be.at.most(fleet.getGrantedCount() / 20);
  });

  it('elects no second holder by VMs that voted in an earlier run, or before a pause', async () => {
    const offsets = Array.from({ length: 25 }, (_, index) => index * 10);
    await Promise.all(
      offsets.map(async (offset) => {
        const paused = createAllowanceFleet(3, LARGE);
        await paused.advance(SETTLE_MS + offset);
        paused.pause(paused.vms.indexOf(paused.getHolders()[0]), 3000);
        await paused.advance(6000);
        expect(paused.getMostHolders()).to.equal(1);
        const restarted = createAllowanceFleet(3, LARGE);
        await restarted.advance(SETTLE_MS + offset);
        const holder = restarted.vms.indexOf(restarted.getHolders()[0]);
        restarted.cut((vm) => vm === holder, true);
        [0, 1, 2].filter((vm) => vm !== holder).forEach((vm) => restarted.restart(vm, 20));
        await restarted.advance(6000);
        expect(restarted.getMostHolders()).to.equal(1);
      }),
    );
  });

  it('lets a VM that is cut off spend what it holds for the time of a lease, and no longer', async () => {
    const fleet = createAllowanceFleet(8, LARGE);
    await fleet.advance(SETTLE_MS);
    const vm = fleet.vms.findIndex((one) => !fleet.getHolders().includes(one));
    for (let at = 0; at < 6000; at += 10) {
      fleet.schedule(at, () => fleet.sendRequest(fleet.vms[vm], 300));
    }
    await fleet.advance(2000);
    const { allowances, clockOffset } = fleet.vms[vm];
    const held = await allowances.acquire(
      fleet.now() + clockOffset,
      { name: 'o', allowance: LARGE },
      10,
    );
    const cutAt = fleet.now();
    fleet.cut((index) => index === vm, false);
    await fleet.advance(5000);
    const sentAfter = fleet.sent.filter(({ at }) => at > cutAt).map(({ at }) => at - cutAt);
    expect(sentAfter.length).to.be.greaterThan(0);
    expect(Math.max(...sentAfter)).to.be.at.most(LEASE_MS);
    expect(held.kind === 'granted' && held.trySpend(fleet.now() + clockOffset)).to.equal(false);
  });

  it('asks for nothing where what the VM holds is enough', async () => {
    const fleet = createAllowanceFleet(2, LARGE);
    await fleet.advance(SETTLE_MS);
    fleet.load(300, 5000, () => 500);
    await fleet.advance(6000);
    expect(fleet.refusals).to.have.lengthOf(0);
    expect(fleet.sentMessages.get('allowanceWanted')).to.be.below(fleet.getGrantedCount() / 8);
  });

  it('tells refused callers different times to return, by the rate of the allowance', async () => {
    const fleet = createAllowanceFleet(8, SMALL);
    await fleet.advance(SETTLE_MS);
    Array.from({ length: 30 }, () => fleet.sendRequest(fleet.vms[0], 2100));
    await fleet.advance(100);
    const times = fleet.refusals.map(({ retryAfterMs }) => retryAfterMs);
    expect(times.length).to.be.at.least(15);
    times.slice(1, 15).forEach((time, index) => expect(time - times[index]).to.be.closeTo(500, 5));
  });

  it('counts odd numbers of tokens as absent, never as nothing', () => {
    const amountOf = (promptTokens: number, outputTokens: number) =>
      getRequestAmount(SMALL, { promptTokens, outputTokens });
    [
      [0, 0],
      [-5, 3],
      [Infinity, 1],
      [NaN, 2],
      [1e300, 1],
      [-Infinity, Infinity],
    ].forEach(([prompt, output]) => expect(amountOf(prompt, output)).to.equal(900));
    expect(amountOf(700, 100)).to.equal(800);
    const nothing = { promptTokens: 0, outputTokens: 0 };
    expect(getRequestAmount({ ...SMALL, defaultTokens: 0 }, nothing)).to.equal(1);
    expect(
      getRequestAmount({ ...SMALL, unit: 'requests' }, { promptTokens: 9, outputTokens: 9 }),
    ).to.equal(1);
  });
});

function applyFault(
  fleet: Fleet,
  { kind, durationMs, vm, part }: Fault,
  allowance: Allowance,
): void {
  const count = fleet.vms.length;
  const holder = fleet.vms.indexOf(fleet.getHolders()[0] ?? fleet.vms[0]);
  const isCut = (index: number) => ((index + vm) % count) / count < part;
  const actions: Record<Fault['kind'], () => void> = {
    pause: () => fleet.pause(vm % count, durationMs),
    pauseHolder: () => fleet.pause(holder, durationMs),
    restart: () => fleet.restart(vm % count, durationMs / 4),
    restartHolder: () => fleet.restart(holder, durationMs / 10),
    restartAll: () => fleet.vms.forEach((_, index) => fleet.restart(index, 1000)),
    cut: () => fleet.cut(isCut, false),
    cutHolder: () => fleet.cut((index) => index === holder || isCut(index), false),
    cutWithStore: () => fleet.cut(isCut, true),
    heal: () => fleet.heal(),
    loseStore: () => fleet.loseStore(durationMs),
    limit: () => fleet.setAllowance({ ...allowance, perSecond: allowance.perSecond * part }),
  };
  actions[kind]();
}
