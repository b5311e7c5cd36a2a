import { expect } from 'chai';
import createTestFleet from './createTestFleet';

const DESKS = 3;
const SLOTS = 6;
const SERVICE_MS = 64;
const PER_SECOND = 150;
/** What the slots can serve in a second. */
const CAPACITY = (DESKS * SLOTS * 1000) / SERVICE_MS;
const PLAY_MS = 8000;
/** Target: fewer than this part of the arrivals at upstreams is rejected. */
const MAX_REJECTED = 1 / 50;
const OBJECTIVE_MS = 300;
/** Of the requests that the slots can serve, all but those that the target lets be rejected. */
const MIN_ON_TIME = 1 - MAX_REJECTED;

type Fleet = ReturnType<typeof createTestFleet>;

/** Guards against VMs that send more to upstreams than these have slots for, and against idle slots. */
describe('services with few slots for many VMs', () => {
  [61, 89].forEach((vms) => {
    it(`reject few of the requests of ${vms} VMs`, async () => {
      const fleet = await startFleet(vms);
      const results = fleet.sendCalls(PER_SECOND, PLAY_MS, (index) => `/look/${index}`);
      await fleet.clock.advance(PLAY_MS + 3000);
      expectFewRejected(fleet);
      expectServed(results);
    });
  });

  it('are used fully, and refuse the rest at once, while more is sent than they can serve', async () => {
    const fleet = await startFleet(61);
    const since = fleet.clock.now();
    const results = fleet.sendCalls(CAPACITY * 1.6, PLAY_MS, (index) => `/call/${index}`);
    await fleet.clock.advance(PLAY_MS);
    const served = fleet.desks.arrivals.length - fleet.desks.rejections.length;
    expectFewRejected(fleet);
    const refused = results.filter(({ status }) => status === 503);
    expect(refused).not.to.have.length(0);
    expect(refused.every(({ retryAfterMs }) => retryAfterMs > 0)).to.equal(true);
    expect(served / ((fleet.clock.now() - since) / 1000)).to.be.at.least(CAPACITY * 0.9);
  });

  it('reject few requests while upstreams are slower for a time', async () => {
    let slow = '';
    const fleet = await startFleet(61, (id) => (id === slow ? SERVICE_MS * 2.5 : SERVICE_MS));
    const results = fleet.sendCalls(PER_SECOND, PLAY_MS, (index) => `/look/${index}`);
    for (let phase = 0; phase < PLAY_MS / 1000; phase += 1) {
      slow = `desk-${(phase % DESKS) + 1}`;
      await fleet.clock.advance(600);
      slow = '';
      await fleet.clock.advance(400);
    }
    await fleet.clock.advance(3000);
    expectFewRejected(fleet);
    expectServed(results);
  });

  it('do not send all requests to an upstream that fails them quickly', async () => {
    const fleet = await startFleet(61);
    fleet.desks.setFailing('desk-2', true);
    const results = fleet.sendCalls(PER_SECOND, PLAY_MS, (index) => `/call/${index}`);
    await fleet.clock.advance(PLAY_MS + 3000);
    const failed = results.filter(({ status }) => status === 500).length;
    expect(failed).to.be.lessThan(results.length / 20);
  });

  (['killed', 'paused', 'cut off'] as const).forEach((fault) => {
    it(`are served while the VM that issues the slots is ${fault}`, async () => {
      const fleet = await startFleet(89);
      fleet.sendCalls(PER_SECOND, 1000, (index) => `/look/before-${index}`);
      await fleet.clock.advance(1000);
      const issuer = fleet.events.find(({ name }) => name === 'slotsTaken')!.vm;
      const results = fleet.sendCalls(PER_SECOND, PLAY_MS, (index) => `/look/${index}`);
      await fleet.clock.advance(2000);
      if (fault === 'killed') {
        fleet.restartVm(issuer, 2 * PLAY_MS);
        setCutOff(fleet, issuer, true);
      } else if (fault === 'paused') {
        fleet.pauseVm(issuer, 4000);
      } else {
        setCutOff(fleet, issuer, true);
      }
      await fleet.clock.advance(4000);
      setCutOff(fleet, issuer, fault === 'killed');
      await fleet.clock.advance(PLAY_MS);
      expectFewRejected(fleet);
      expectServed(results.filter(({ vm }) => vm !== issuer));
      expect(getMostRuns(fleet), 'runs of one request').to.equal(1);
    });
  });
});

async function startFleet(vms: number, getMs = (_: string) => SERVICE_MS): Promise<Fleet> {
  const fleet = createTestFleet({ vms, desks: DESKS, isLoadStated: true });
  fleet.desks.setRejecting(SLOTS, getMs);
  await fleet.start();
  return fleet;
}

function setCutOff(fleet: Fleet, vm: string, isCutOff: boolean): void {
  fleet.addresses.forEach((other) => {
    fleet.setLost(vm, other, isCutOff);
    fleet.setLost(other, vm, isCutOff);
  });
}

function getMostRuns(fleet: Fleet): number {
  const counts = new Map<string, number>();
  const count = (path: string, difference: number) =>
    counts.set(path, (counts.get(path) ?? 0) + difference);
  fleet.desks.arrivals.forEach(({ path }) => count(path, 1));
  fleet.desks.rejections.forEach(({ path }) => count(path, -1));
  return Math.max(...counts.values());
}

function expectFewRejected({ desks }: Fleet): void {
  const part = desks.rejections.length / desks.arrivals.length;
  expect(part, `${desks.rejections.length} of ${desks.arrivals.length} rejected`).to.be.lessThan(
    MAX_REJECTED,
  );
}

function expectServed(results: { status: number; ms: number }[]): void {
  const onTime = results.filter(({ status, ms }) => status === 200 && ms <= OBJECTIVE_MS);
  expect(onTime.length).to.be.at.least(results.length * MIN_ON_TIME);
}
