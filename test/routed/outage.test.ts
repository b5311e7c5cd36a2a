import { expect } from 'chai';
import createMembers from '../../src/members/createMembers';
import createVirtualClock from '../scenario/createVirtualClock';

const LEASE_SECONDS = 3;
const OTHERS = ['10.0.0.2:1', '10.0.0.3:1'];

describe('a VM whose registration can’t be renewed', () => {
  it('holds what it owns while no VM has had word of the store since', async () => {
    const trial = await createTrial();
    trial.isStoreUp = false;
    const lostAt = trial.time.now();
    await trial.hear(10_000, () => trial.time.now() - lostAt);
    expect(trial.members.hasLease(trial.time.now())).to.equal(false);
    expect(trial.members.isLeaseEndUnobserved(trial.time.now())).to.equal(true);
  });

  it('does not once another VM has had word of it', async () => {
    const trial = await createTrial();
    trial.isStoreUp = false;
    const lostAt = trial.time.now();
    await trial.hear(10_000, (vm) => (vm === OTHERS[0] ? 100 : trial.time.now() - lostAt));
    expect(trial.members.isLeaseEndUnobserved(trial.time.now())).to.equal(false);
  });

  it('does not once a VM that may live is not heard', async () => {
    const trial = await createTrial();
    trial.isStoreUp = false;
    const lostAt = trial.time.now();
    await trial.hear(10_000, () => trial.time.now() - lostAt, [OTHERS[0]]);
    expect(trial.members.isLeaseEndUnobserved(trial.time.now())).to.equal(false);
  });

  it('does not after it stood still, before it has heard the others again', async () => {
    const trial = await createTrial();
    trial.isStoreUp = false;
    const lostAt = trial.time.now();
    await trial.hear(4000, () => trial.time.now() - lostAt);
    await trial.time.advance(5000);
    expect(trial.members.isLeaseEndUnobserved(trial.time.now())).to.equal(false);
  });
});

/** One VM that hears two others, on a store that can go away. */
async function createTrial() {
  const time = createVirtualClock();
  const away = { ok: false as const, error: { kind: 'unknown' as const, reason: 'away' } };
  const trial = { isStoreUp: true, time, members: undefined as never as Members, hear };
  const entries = OTHERS.map((vm) => ({
    key: `/baobablink/members/${vm}`,
    value: '{"incarnation":"1"}',
    createRevision: 1,
    modRevision: 1,
  }));
  trial.members = createMembers(
    {
      ...time,
      keyValue: {
        range: async () => ({ ok: true, value: { revision: 1, more: false, entries } }),
        transact: async () =>
          trial.isStoreUp ? { ok: true, value: { succeeded: true, revision: 2, read: [] } } : away,
        grantLease: async () => (trial.isStoreUp ? { ok: true, value: '1' } : away),
        keepLeaseAlive: async () => (trial.isStoreUp ? { ok: true, value: 3 } : away),
        revokeLease: async () => away,
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
  trial.members.start();
  await hear(3000, () => 50);

  async function hear(forMs: number, getAge: (vm: string) => number, from = OTHERS) {
    for (let spent = 0; spent < forMs; spent += 450) {
      from.forEach((vm) =>
        trial.members.receive(vm, {
          kind: 'heartbeat',
          state: 'live',
          about: { incarnation: '1', dataCentre: 'x', callerAddress: vm, heard: [] },
          tableRevision: 1,
          newestRow: 1,
          confirmedAgeMs: getAge(vm),
          inFlight: 0,
        }),
      );
      await time.advance(450);
    }
  }

  return trial;
}

type Members = ReturnType<typeof createMembers>;
