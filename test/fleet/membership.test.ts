import { expect } from 'chai';
import createTestFleet from './createTestFleet';

/** More VMs than send their full heartbeats at the full rate. */
const VM_COUNT = 52;

describe('membership of many VMs', () => {
  it('does not leave a VM that starts late without the heartbeats of the others', async () => {
    const fleet = createTestFleet({ vms: VM_COUNT });
    const late = fleet.addresses.at(-1)!;
    await fleet.start(fleet.addresses.slice(0, -1));
    fleet.vms.get(late)!.start();
    await fleet.clock.advance(2500);
    expect(fleet.vms.get(late)!.getCallerAddresses('none')).to.have.length(VM_COUNT);
  });
});
