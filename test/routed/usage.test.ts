import { expect } from 'chai';
import createBroadcaster from '../../src/broadcast/createBroadcaster';
import createUpstreamLoads from '../../src/load/createUpstreamLoads';
import createUsage from '../../src/usage/createUsage';
import getUsageSource from '../../src/usage/getUsageSource';
import createUsagePublisher from '../../src/usage/createUsagePublisher';
import type Member from '../../src/members/Member';
import type Message from '../../src/mesh/Message';

const DATA_CENTRES = ['x', 'y', 'z'];
const UPSTREAM = { id: 'u1', startedAt: 1, service: 's' };

describe('usage published between VMs', () => {
  [3, 30, 81].forEach((count) => {
    describe(`with ${count} VMs`, () => {
      it('gives every VM the number of requests in progress at each upstream', () => {
        const cluster = createCluster(count);
        cluster.vms.forEach((vm, index) => vm.usage.beginRequest(0, 'u1', `a${index % 5}`));
        cluster.vms[0].usage.beginRequest(0, 'u2', '');
        cluster.publishAll(3);
        cluster.vms.forEach((vm) => {
          expect(vm.usage.getInFlight(cluster.now(), 'u1')).to.equal(count);
          expect(vm.usage.getInFlight(cluster.now(), 'u2')).to.equal(1);
        });
      });

      it('gives an engine’s owner the use of each adapter, and all VMs the busy adapters', () => {
        const cluster = createCluster(count);
        const endRequests = cluster.vms.map((vm) => vm.usage.beginRequest(0, 'u1', 'a1'));
        cluster.publishAll(3);
        expect(cluster.owner.usage.getUse(cluster.now(), 'u1', 'a1').inFlight).to.equal(count);
        cluster.vms.forEach((vm) =>
          expect(vm.usage.getUse(cluster.now(), 'u1', 'a1').inFlight).to.equal(count),
        );
        endRequests.forEach((endRequest) => endRequest(cluster.now()));
        cluster.publishAll(3);
        expect(cluster.owner.usage.getUse(cluster.now(), 'u1', 'a1').inFlight).to.equal(0);
        expect(cluster.owner.usage.getUse(cluster.now(), 'u1', 'a1').lastUsedAt).to.be.within(
          0,
          3000,
        );
      });

      it('delivers the state of an engine to all VMs', () => {
        const cluster = createCluster(count);
        cluster.owner.publisher.publishState(createState(), []);
        cluster.publishAll(2);
        cluster.vms
          .filter((vm) => vm !== cluster.owner)
          .forEach((vm) => expect(vm.receivedStates).to.include('u1'));
      });

      it('tells every VM what one VM learned about an upstream, with its age', () => {
        // Guards against VMs that know only the few answers that they get themselves.
        const cluster = createCluster(count);
        const load = { running: 4, waiting: 1, slots: 6, slowdown: 2 };
        cluster.vms.at(-1)!.loads.observe(0, UPSTREAM, load);
        cluster.publishAll(2);
        cluster.vms.forEach((vm) => {
          const { inFlight, ageMs } = vm.loads.getStated(cluster.now(), UPSTREAM)!;
          expect([inFlight, ageMs]).to.deep.equal([5, 500]);
        });
        cluster.publishAll(8);
        expect(cluster.vms[0].loads.getStated(cluster.now(), UPSTREAM)).to.equal(undefined);
      });

      it('drops the counts of a VM that has stopped publishing', () => {
        const cluster = createCluster(count);
        cluster.vms.at(-1)!.usage.beginRequest(0, 'u1', 'a1');
        cluster.publishAll(3);
        cluster.vms.at(-1)!.isSilent = true;
        cluster.publishAll(30);
        expect(cluster.vms[0].usage.getInFlight(cluster.now(), 'u1')).to.equal(0);
      });
    });
  });

  it('sends a number of messages that grows linearly with the number of VMs', () => {
    const cluster = createCluster(81);
    cluster.publishAll(1);
    expect(cluster.getSentCount()).to.be.lessThan(81 * 6);
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

/**
 * Creates VMs in three data centres, whose messages arrive immediately. The second VM owns the
 * engine `u1`.
 */
function createCluster(count: number) {
  let now = 0;
  let sentCount = 0;
  const addresses = Array.from({ length: count }, (_, index) => `vm${index}:1`);
  const getDataCentre = (address: string) =>
    DATA_CENTRES[addresses.indexOf(address) % DATA_CENTRES.length];
  const vms = addresses.map(createVm);
  const owner = vms[1];

  function createVm(address: string) {
    const dataCentre = getDataCentre(address);
    const usage = createUsage();
    const receivedStates: string[] = [];
    const loads = createUpstreamLoads({
      getOwnInFlight: usage.getOwnInFlight,
      tryGetUpstream: () => UPSTREAM,
      onAnswer: () => {},
      onStated: () => {},
      onRejection: () => {},
    });
    const vm = { address, usage, loads, receivedStates, isSilent: false };
    const send = (to: string, message: Message) => {
      sentCount += 1;
      vms.find((other) => other.address === to)!.receive(address, message);
      return true;
    };
    const getMembers = () =>
      addresses
        .filter((other) => other !== address)
        .map(
          (other) => ({ address: other, dataCentre: getDataCentre(other), linkMbps: 0 }) as Member,
        );
    const broadcaster = createBroadcaster(
      { now: () => now, send, members: { getMembers, getServing: getServingAddresses } },
      { address, dataCentre },
    );
    const publisher = createUsagePublisher(
      {
        now: () => now,
        send,
        broadcaster,
        takeUpstreamReports: loads.takeReports,
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
        const forwarded = broadcaster.receiveForward(message.message);
        if (forwarded) {
          receive(from, forwarded);
        }
      } else if (message.kind === 'share') {
        usage.receiveAdapterUsage(now, from, message.upstream, message.share);
      } else if (message.kind === 'engineState') {
        receivedStates.push(message.engine);
      } else if (message.kind === 'usage') {
        const source = getUsageSource(from, message.dataCentre, dataCentre);
        usage.receiveInFlightCounts(now, source, message.loads);
        message.engines.forEach(({ engine, busy }) => usage.receiveBusyAdapters(now, engine, busy));
        receivedStates.push(...message.states.map(({ engine }) => engine));
        loads.receiveReports(now, message.upstreams ?? []);
        publisher.collect(message);
      }
    };
    return Object.assign(vm, { publisher, receive });
  }

  function getServingAddresses(): string[] {
    return addresses;
  }

  function publishAll(rounds: number): void {
    for (let round = 0; round < rounds; round += 1) {
      now += 250;
      vms.filter((vm) => !vm.isSilent).forEach((vm) => vm.publisher.publish());
    }
  }

  return { vms, owner, publishAll, now: () => now, getSentCount: () => sentCount };
}
