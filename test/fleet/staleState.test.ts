import { expect } from 'chai';
import createTestFleet from './createTestFleet';

/** The shortest bound that the platform sets on the delay of a change. */
const CHANGE_BOUND_MS = 2000;
const VM_COUNT = 9;
/** 7 Mbit/s, the slowest link of a VM in the deployments. */
const SLOW_LINK_BYTES_PER_MS = 875;
const REQUESTS_PER_SECOND = 11;

describe('state of the key-value service on all VMs', () => {
  it('is not late on a VM that the service refuses and that missed one change', async () => {
    const fleet = createTestFleet({ vms: VM_COUNT });
    await fleet.start();
    const [refused, ...others] = [...fleet.addresses].reverse();
    fleet.setFault(refused, 'refused');
    others.forEach((other) => fleet.setLost(other, refused, true));
    fleet.setManifest(2);
    await fleet.clock.advance(400);
    others.forEach((other) => fleet.setLost(other, refused, false));
    await fleet.clock.advance(400);
    const since = fleet.clock.now();
    fleet.setManifest(3);
    await fleet.clock.advance(8000);
    expect(fleet.getDelays(3, since).get(refused)).to.be.lessThan(CHANGE_BOUND_MS);
  });

  it('reaches a VM that the service refuses from its start, over links that stay up', async () => {
    const fleet = createTestFleet({ vms: VM_COUNT });
    const refused = fleet.addresses.at(-1)!;
    fleet.setFault(refused, 'refused');
    await fleet.start();
    expect(fleet.getDelays(1, fleet.clock.now()).get(refused)).to.be.lessThan(0);
    expect(fleet.refusedMessages).to.deep.equal([]);
  });

  it('is not late anywhere while the service refuses a third of the VMs', async () => {
    const fleet = createTestFleet({ vms: VM_COUNT });
    await fleet.start();
    const delays: number[] = [];
    // Each choice of the refused VMs, so that the ones that read for the others are among them.
    for (let first = 0; first < VM_COUNT; first += 1) {
      const refused = [0, 1, 2].map((step) => fleet.addresses[(first + step) % VM_COUNT]);
      refused.forEach((vm) => fleet.setFault(vm, first % 2 === 0 ? 'refused' : 'silent'));
      await fleet.clock.advance(100);
      const since = fleet.clock.now();
      fleet.setManifest(first + 2);
      await fleet.clock.advance(5000);
      delays.push(...fleet.getDelays(first + 2, since).values());
      refused.forEach((vm) => fleet.setFault(vm, 'none'));
      await fleet.clock.advance(4000);
    }
    expect(Math.max(...delays)).to.be.lessThan(CHANGE_BOUND_MS);
  });

  it('is not late behind the state of busy engines on the slow link of a relaying VM', async () => {
    const fleet = createBusyFleet();
    await fleet.start();
    fleet.sendRequests(REQUESTS_PER_SECOND, 11_000);
    fleet.addresses
      .filter((_, index) => index % 3 === 0)
      .forEach((vm) => fleet.setFault(vm, 'refused'));
    await fleet.clock.advance(8000);
    const since = fleet.clock.now();
    fleet.setManifest(2);
    await fleet.clock.advance(3000);
    expect(Math.max(...fleet.getDelays(2, since).values())).to.be.lessThan(CHANGE_BOUND_MS);
  });

  it('leaves at least half of the slow link of a relaying VM to its callers', async () => {
    const fleet = createBusyFleet();
    await fleet.start();
    const sentBefore = fleet.addresses.map(fleet.getSentBytes);
    fleet.sendRequests(REQUESTS_PER_SECOND, 4000);
    await fleet.clock.advance(4000);
    const rates = fleet.addresses.map(
      (vm, index) => (fleet.getSentBytes(vm) - sentBefore[index]) / 4000,
    );
    expect(Math.max(...rates)).to.be.lessThan(SLOW_LINK_BYTES_PER_MS / 2);
  });
});

function createBusyFleet() {
  return createTestFleet({
    vms: 44,
    dataCentres: ['x', 'y'],
    engines: 64,
    linkBytesPerMs: SLOW_LINK_BYTES_PER_MS,
  });
}
