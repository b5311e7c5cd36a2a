import { expect } from 'chai';
import createMembers from '../../src/members/createMembers';
import createVirtualClock from '../scenario/createVirtualClock';

const LEASE_SECONDS = 3;
const OTHER_VMS = ['10.0.0.2:1', '10.0.0.3:1'];

describe('isLeaseEndUnobserved of a VM whose lease cannot be renewed', () => {
  it('returns true while no VM has data confirmed after the end of the lease', async () => {
    const fixture = await createTestMembers();
    fixture.isServiceUp = false;
    const lostAt = fixture.clock.now();
    await fixture.receiveHeartbeats(10_000, () => fixture.clock.now() - lostAt);
    expect(fixture.members.hasLease(fixture.clock.now())).to.equal(false);
    expect(fixture.members.isLeaseEndUnobserved(fixture.clock.now())).to.equal(true);
  });

  it('returns false once another VM has data confirmed after the end of the lease', async () => {
    const fixture = await createTestMembers();
    fixture.isServiceUp = false;
    const lostAt = fixture.clock.now();
    await fixture.receiveHeartbeats(10_000, (vm) =>
      vm === OTHER_VMS[0] ? 100 : fixture.clock.now() - lostAt,
    );
    expect(fixture.members.isLeaseEndUnobserved(fixture.clock.now())).to.equal(false);
  });

  it('returns false once a VM that may be alive sends no heartbeats', async () => {
    const fixture = await createTestMembers();
    fixture.isServiceUp = false;
    const lostAt = fixture.clock.now();
    await fixture.receiveHeartbeats(10_000, () => fixture.clock.now() - lostAt, [OTHER_VMS[0]]);
    expect(fixture.members.isLeaseEndUnobserved(fixture.clock.now())).to.equal(false);
  });

  it('returns false after a pause of the VM without heartbeats since then', async () => {
    const fixture = await createTestMembers();
    fixture.isServiceUp = false;
    const lostAt = fixture.clock.now();
    await fixture.receiveHeartbeats(4000, () => fixture.clock.now() - lostAt);
    await fixture.clock.advance(5000);
    expect(fixture.members.isLeaseEndUnobserved(fixture.clock.now())).to.equal(false);
  });
});

describe('getSharerCount', () => {
  it('counts the VMs that one VM has ceased to hear, while they are registered', async () => {
    const fixture = await createTestMembers();
    expect(fixture.members.getSharerCount(fixture.clock.now())).to.equal(3);
    await fixture.clock.advance(5000);
    expect(fixture.members.getServing(fixture.clock.now())).to.have.length(1);
    expect(fixture.members.getSharerCount(fixture.clock.now())).to.equal(3);
  });
});

/** Creates one VM that receives heartbeats from two others; the key-value service can fail. */
async function createTestMembers() {
  const clock = createVirtualClock();
  const unavailable = { ok: false as const, error: { kind: 'unknown' as const, reason: 'down' } };
  const fixture = {
    isServiceUp: true,
    clock,
    members: undefined as never as Members,
    receiveHeartbeats,
  };
  const entries = OTHER_VMS.map((vm) => ({
    key: `/baobablink/members/${vm}`,
    value: '{"incarnation":"1"}',
    createRevision: 1,
    modRevision: 1,
  }));
  fixture.members = createMembers(
    {
      ...clock,
      keyValue: {
        range: async () => ({ ok: true, value: { revision: 1, more: false, entries } }),
        transact: async () =>
          fixture.isServiceUp
            ? { ok: true, value: { succeeded: true, revision: 2, read: [] } }
            : unavailable,
        grantLease: async () => (fixture.isServiceUp ? { ok: true, value: '1' } : unavailable),
        keepLeaseAlive: async () => (fixture.isServiceUp ? { ok: true, value: 3 } : unavailable),
        revokeLease: async () => unavailable,
      },
      tryGetVmList: async () => undefined,
      send: () => true,
      redial: () => {},
      setPeers: () => {},
      getHeartbeatFields: () => ({
        tableRevision: 1,
        newestRow: 1,
        confirmedAgeMs: 0,
        inFlight: 0,
      }),
      onHeartbeat: () => {},
    },
    {
      address: '10.0.0.1:1',
      dataCentre: 'x',
      callerAddress: '10.0.0.1:80',
      incarnation: '1',
      seeds: [],
      leaseSeconds: LEASE_SECONDS,
    },
  );
  fixture.members.start();
  await receiveHeartbeats(3000, () => 50);

  async function receiveHeartbeats(
    forMs: number,
    getConfirmedAgeMs: (vm: string) => number,
    senders = OTHER_VMS,
  ) {
    for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += 450) {
      senders.forEach((vm) =>
        fixture.members.receive(vm, {
          kind: 'heartbeat',
          state: 'live',
          about: { incarnation: '1', dataCentre: 'x', callerAddress: vm, heard: [] },
          tableRevision: 1,
          newestRow: 1,
          confirmedAgeMs: getConfirmedAgeMs(vm),
          inFlight: 0,
        }),
      );
      await clock.advance(450);
    }
  }

  return fixture;
}

type Members = ReturnType<typeof createMembers>;
