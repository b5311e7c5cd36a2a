import { expect } from 'chai';
import createTestFleet from './createTestFleet';

/** Time in which a change of keys must be in force on all VMs. */
const CONFIG_MS = 3000;
const KEYS = { 'key-1': 'first', 'key-2': 'second' };

type Fleet = ReturnType<typeof createTestFleet>;

describe('organisations on all VMs', () => {
  // Guards against a VM that serves a withdrawn key since it reads the store late or not at all.
  it('have their keys added and withdrawn in time, also where the store refuses a VM', async () => {
    const fleet = createTestFleet({ vms: 9, desks: 6 });
    await start(fleet);
    const refused = fleet.addresses.at(-1)!;
    fleet.setFault(refused, 'refused');
    await fleet.clock.advance(2000);
    expect(await callAll(fleet, 'key-1')).to.deep.equal([200]);
    expect(await callAll(fleet, 'key-3')).to.deep.equal([401]);
    fleet.setManifest(3, { 'key-2': 'second', 'key-3': 'first' });
    await fleet.clock.advance(CONFIG_MS);
    expect(await callAll(fleet, 'key-1')).to.deep.equal([401]);
    expect(await callAll(fleet, 'key-3')).to.deep.equal([200]);
  });

  it('keep a key withdrawn on a VM that restarts and gets the manifest from others', async () => {
    const fleet = createTestFleet({ vms: 6, desks: 4 });
    await start(fleet);
    const [, , , restarted] = fleet.addresses;
    fleet.setManifest(3, { 'key-2': 'second' });
    await fleet.clock.advance(CONFIG_MS);
    fleet.setFault(restarted, 'refused');
    fleet.restartVm(restarted, 500);
    expect((await call(fleet, restarted, 'key-2')).status).to.equal(503);
    await fleet.clock.advance(CONFIG_MS);
    expect((await call(fleet, restarted, 'key-1')).status).to.equal(401);
    expect((await call(fleet, restarted, 'key-2')).status).to.equal(200);
  });

  it('do not return with an older manifest', async () => {
    const fleet = createTestFleet({ vms: 4, desks: 4 });
    await start(fleet);
    fleet.setManifest(3, { 'key-2': 'second' });
    await fleet.clock.advance(CONFIG_MS);
    fleet.setManifest(2, KEYS);
    await fleet.clock.advance(CONFIG_MS);
    expect(await callAll(fleet, 'key-1')).to.deep.equal([401]);
  });

  // Guards against a carrier that refuses or renames what another VM has checked.
  it('travel with requests that other VMs carry, also to VMs with an older manifest', async () => {
    const fleet = createTestFleet({ vms: 6, desks: 4 });
    await start(fleet);
    const [cut, ...carriers] = fleet.addresses;
    carriers.forEach((vm) => fleet.setFault(vm, 'silent'));
    carriers.forEach((carrier) => fleet.setLost(cut, carrier, true));
    fleet.setManifest(3, { 'key-3': 'third' });
    await fleet.clock.advance(CONFIG_MS);
    fleet.partitions.partition(cut, 'reset');
    for (let index = 0; index < 12; index += 1) {
      await call(fleet, cut, 'key-3', `/look/before-${index}`);
    }
    fleet.sentRequests.length = 0;
    const result = await call(fleet, cut, 'key-3', '/look/carried');
    expect(result.status).to.equal(200);
    const delays = carriers.map((vm) => fleet.getDelays(3, 0).get(vm));
    expect(new Set(delays)).to.deep.equal(new Set([Infinity]));
    const carried = fleet.sentRequests.filter(({ path }) => path === '/look/carried');
    expect(carried.map(({ vm }) => carriers.includes(vm))).to.deep.equal([true]);
    expect(carried.map(({ organisation }) => organisation)).to.deep.equal(['third']);
  });

  it('are served on by a VM that is isolated from the store, unless it must fail closed', async () => {
    for (const maxUnconfirmedMs of [undefined, 5000]) {
      const fleet = createTestFleet({ vms: 4, desks: 4, maxUnconfirmedMs });
      await start(fleet);
      fleet.addresses.forEach((vm) => fleet.setFault(vm, 'refused'));
      await fleet.clock.advance(4000);
      expect(await callAll(fleet, 'key-1')).to.deep.equal([200]);
      await fleet.clock.advance(2500);
      expect(await callAll(fleet, 'key-1')).to.deep.equal([maxUnconfirmedMs ? 503 : 200]);
      fleet.addresses.forEach((vm) => fleet.setFault(vm, 'none'));
      await fleet.clock.advance(3000);
      expect(await callAll(fleet, 'key-1')).to.deep.equal([200]);
    }
  });
});

async function start(fleet: Fleet): Promise<void> {
  await fleet.start();
  fleet.setManifest(2, KEYS);
  await fleet.clock.advance(CONFIG_MS);
}

async function call(fleet: Fleet, vm: string, key: string, path?: string) {
  const result = fleet.sendCall(vm, path, key);
  await fleet.clock.advance(1000);
  return result;
}

/** Sends a call by way of each VM at the same time; returns the statuses that occur. */
async function callAll(fleet: Fleet, key: string): Promise<number[]> {
  const calls = fleet.addresses.map((vm) => fleet.sendCall(vm, '/call/1', key));
  await fleet.clock.advance(200);
  const results = await Promise.all(calls);
  return [...new Set(results.map(({ status }) => status))];
}
