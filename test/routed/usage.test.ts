import { expect } from 'chai';
import createBroadcaster from '../../src/broadcast/createBroadcaster';
import createUsage from '../../src/usage/createUsage';
import getUsageSource from '../../src/usage/getUsageSource';
import createUsagePublisher from '../../src/usage/createUsagePublisher';
import type Member from '../../src/members/Member';
import type Message from '../../src/mesh/Message';

const DATA_CENTRES = ['x', 'y', 'z'];

describe('what the VMs tell each other of their requests', () => {
  [3, 30, 81].forEach((count) => {
    describe(`with ${count} VMs`, () => {
      it('lets every VM know the requests in progress at each upstream', () => {
        const fleet = createFleet(count);
        fleet.vms.forEach((vm, index) => vm.usage.beginRequest(0, 'u1', `a${index % 5}`));
        fleet.vms[0].usage.beginRequest(0, 'u2', '');
        fleet.tellAll(3);
        fleet.vms.forEach((vm) => {
          expect(vm.usage.getInFlight(fleet.now(), 'u1')).to.equal(count);
          expect(vm.usage.getInFlight(fleet.now(), 'u2')).to.equal(1);
        });
      });

      it('lets the owner of an engine know the use of each adapter, and all that it is in use', () => {
        const fleet = createFleet(count);
        const ends = fleet.vms.map((vm) => vm.usage.beginRequest(0, 'u1', 'a1'));
        fleet.tellAll(3);
        expect(fleet.owner.usage.getUse(fleet.now(), 'u1', 'a1').inFlight).to.equal(count);
        fleet.vms.forEach((vm) =>
          expect(vm.usage.getUse(fleet.now(), 'u1', 'a1').inFlight).to.equal(count),
        );
        ends.forEach((end) => end(fleet.now()));
        fleet.tellAll(3);
        expect(fleet.owner.usage.getUse(fleet.now(), 'u1', 'a1').inFlight).to.equal(0);
        expect(fleet.owner.usage.getUse(fleet.now(), 'u1', 'a1').lastUsedAt).to.be.within(0, 3000);
      });

      it('passes the state of an engine on to all', () => {
        const fleet = createFleet(count);
        fleet.owner.teller.publishState(createState(), []);
        fleet.tellAll(2);
        fleet.vms
          .filter((vm) => vm !== fleet.owner)
          .forEach((vm) => expect(vm.states).to.include('u1'));
      });

      it('forgets what a VM that is silent has told', () => {
        const fleet = createFleet(count);
        fleet.vms.at(-1)!.usage.beginRequest(0, 'u1', 'a1');
        fleet.tellAll(3);
        fleet.vms.at(-1)!.isSilent = true;
        fleet.tellAll(30);
        expect(fleet.vms[0].usage.getInFlight(fleet.now(), 'u1')).to.equal(0);
      });
    });
  });

  it('takes messages of a number that grows with the VMs, not with their square', () => {
    const fleet = createFleet(81);
    fleet.tellAll(1);
    expect(fleet.getSent()).to.be.lessThan(81 * 6);
  });
});

function createState() {
  return {
    engine: 'u1',
    startedAt: 1,
    fence: 1,
    sequence: 1,
    canLoad: true,
    isReachable: true,
    queued: 0,
    models: [],
    adapters: [],
  };
}

/** VMs whose messages arrive at once, in three data centres; the second one owns engine `u1`. */
function createFleet(count: number) {
  let now = 0;
  let sent = 0;
  const addresses = Array.from({ length: count }, (_, index) => `vm${index}:1`);
  const getDataCentre = (address: string) =>
    DATA_CENTRES[addresses.indexOf(address) % DATA_CENTRES.length];
  const vms = addresses.map(createVm);
  const owner = vms[1];

  function createVm(address: string) {
    const dataCentre = getDataCentre(address);
    const usage = createUsage();
    const states: string[] = [];
    const vm = { address, usage, states, isSilent: false };
    const send = (to: string, message: Message) => {
      sent += 1;
      vms.find((other) => other.address === to)!.receive(address, message);
      return true;
    };
    const getMembers = () =>
      addresses
        .filter((other) => other !== address)
        .map((other) => ({ address: other, dataCentre: getDataCentre(other) }) as Member);
    const spread = createBroadcaster(
      { now: () => now, send, members: { getMembers, getServing: getServingAddresses } },
      { address, dataCentre },
    );
    const teller = createUsagePublisher(
      {
        now: () => now,
        send,
        broadcaster: spread,
        tryGetOwner: (engine) => (engine === 'u1' ? addresses[1] : undefined),
        getOwnedEngines: (at) =>
          address === addresses[1]
            ? [{ engine: 'u1', backlogMs: 0, busy: usage.getBusyAdapters(at, 'u1') }]
            : [],
      },
      usage,
      { address, dataCentre },
    );
    const receive = (from: string, message: Message): void => {
      if (message.kind === 'forward') {
        const inner = spread.receiveForward(message.message);
        if (inner) {
          receive(from, inner);
        }
      } else if (message.kind === 'share') {
        usage.receiveAdapterUsage(now, from, message.upstream, message.share);
      } else if (message.kind === 'engineState') {
        states.push(message.engine);
      } else if (message.kind === 'usage') {
        const source = getUsageSource(from, message.dataCentre, dataCentre);
        usage.receiveInFlightCounts(now, source, message.loads);
        message.engines.forEach(({ engine, busy }) => usage.receiveBusyAdapters(now, engine, busy));
        states.push(...message.states.map(({ engine }) => engine));
        teller.collect(message);
      }
    };
    return Object.assign(vm, { teller, receive });
  }

  function getServingAddresses(): string[] {
    return addresses;
  }

  function tellAll(times: number): void {
    for (let time = 0; time < times; time += 1) {
      now += 250;
      vms.filter((vm) => !vm.isSilent).forEach((vm) => vm.teller.publish());
    }
  }

  return { vms, owner, tellAll, now: () => now, getSent: () => sent };
}
