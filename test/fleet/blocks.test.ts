import { expect } from 'chai';
import type CallerRequest from '../../src/gateway/CallerRequest';
import createRequest from './createRequest';
import createTestFleet from './createTestFleet';

const VM_COUNT = 9;
const CRASH_INTERVAL_MS = 700;
/** Time after the fifth crash from which only a few requests may still reach engines. */
const KNOWN_AFTER_MS = 3000;
const TRAITS = ['part:first', 'part:bad'];

type Fleet = ReturnType<typeof createTestFleet>;

describe('blocks of requests that crash upstreams', () => {
  it('are in force on all VMs after five crashes, each seen by another VM', async () => {
    const fleet = createTestFleet({ vms: VM_COUNT });
    await fleet.start();
    await crash(fleet, 5);
    expect(getBlocking(fleet, 'bad')).to.deep.equal(fleet.addresses);
    expect(getBlocking(fleet, 'first')).to.deep.equal([]);
  });

  it('are in force on all VMs while the key-value service is lost to all', async () => {
    const fleet = createTestFleet({ vms: VM_COUNT });
    await fleet.start();
    fleet.addresses.forEach((address) => fleet.setFault(address, 'silent'));
    await crash(fleet, 5);
    await fleet.clock.advance(KNOWN_AFTER_MS);
    expect(getBlocking(fleet, 'bad')).to.deep.equal(fleet.addresses);
  });

  (['none', 'refused'] as const).forEach((fault) => {
    it(`reach a VM that starts later (key-value service: ${fault})`, async () => {
      const fleet = createTestFleet({ vms: VM_COUNT });
      const late = fleet.addresses.at(-1)!;
      await fleet.start(fleet.addresses.slice(0, -1));
      await crash(fleet, 5);
      fleet.setFault(late, fault);
      fleet.vms.get(late)!.start();
      await fleet.clock.advance(KNOWN_AFTER_MS);
      expect(getBlocking(fleet, 'bad')).to.include(late);
    });
  });

  it('reach a VM that heard nothing of the others for a while', async () => {
    const fleet = createTestFleet({ vms: VM_COUNT });
    await fleet.start();
    const [deaf, ...others] = fleet.addresses;
    others.forEach((other) => fleet.setLost(other, deaf, true));
    fleet.setFault(deaf, 'refused');
    await crash(fleet, 5, others);
    others.forEach((other) => fleet.setLost(other, deaf, false));
    await fleet.clock.advance(KNOWN_AFTER_MS);
    expect(getBlocking(fleet, 'bad')).to.deep.equal(fleet.addresses);
  });

  it('do not arise for a part that any VM knows to be served', async () => {
    const fleet = createTestFleet({ vms: VM_COUNT });
    await fleet.start();
    const [served, ...others] = fleet.addresses;
    guard(fleet, served).recordServed(fleet.clock.now(), createPrompt(['first', 'bad']));
    await crash(fleet, 5, others);
    await fleet.clock.advance(500);
    expect(getBlocking(fleet, 'bad')).to.deep.equal([]);
  });

  it('are lifted everywhere by an operator at one VM, and stay lifted', async () => {
    const fleet = createTestFleet({ vms: VM_COUNT });
    await fleet.start();
    await crash(fleet, 5);
    expect(
      guard(fleet, fleet.addresses[3]).lift(fleet.clock.now(), 'part:bad', 'operator'),
    ).to.equal(true);
    await fleet.clock.advance(10_000);
    expect(getBlocking(fleet, 'bad')).to.deep.equal([]);
  });

  it('take bounded memory, however many parts are involved', async () => {
    const fleet = createTestFleet({ vms: 2 });
    await fleet.start();
    const [address] = fleet.addresses;
    const blocks = Array.from({ length: 3000 }, (_, index) => ({
      trait: `part:p${index}`,
      version: 1,
      isBlocked: true,
    }));
    guard(fleet, address).receiveBlocks(fleet.clock.now(), blocks);
    expect(guard(fleet, address).getBlocked()).to.have.length.at.most(1024);
  });
});

function createPrompt(sharedPromptParts: string[]): CallerRequest {
  return { ...createRequest(1, 'a1'), sharedPromptParts };
}

function guard(fleet: Fleet, address: string) {
  return fleet.vms.get(address)!.crashGuard;
}

/** Lets each of the VMs in turn report the crash of another engine under the same parts. */
async function crash(fleet: Fleet, count: number, vms: readonly string[] = fleet.addresses) {
  for (let index = 0; index < count; index += 1) {
    guard(fleet, vms[index % (VM_COUNT - 1)]).reportCrash(fleet.clock.now(), {
      upstream: `e${index}`,
      requests: [{ traits: TRAITS, ageMs: 0, ranMs: 50 }],
    });
    await fleet.clock.advance(CRASH_INTERVAL_MS);
  }
}

function getBlocking(fleet: Fleet, part: string): string[] {
  return fleet.addresses.filter(
    (address) =>
      guard(fleet, address).tryGetBlock(fleet.clock.now(), createPrompt([part])) !== undefined,
  );
}
