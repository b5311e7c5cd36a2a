import { expect } from 'chai';
import createOwnerships from '../../src/engines/createOwnerships';
import type KeyValueTransaction from '../../src/keyValue/KeyValueTransaction';
import createVirtualClock from '../scenario/createVirtualClock';

const LEASE_MS = 3000;
const MARGIN_MS = 300;
const ENGINES = ['e1', 'e2', 'e3', 'e4'];

describe('ownership of engines', () => {
  it('falls to one VM an engine', async () => {
    const trial = createTrial(3);
    await trial.run(4000);
    const owners = ENGINES.map((engine) => trial.getOwners(engine));
    owners.forEach((vms) => expect(vms).to.have.length(1));
  });

  it('passes on after a death, and orders only when the former ones are over', async () => {
    const trial = createTrial(3);
    await trial.run(4000);
    const [dead] = trial.getOwners('e1');
    trial.kill(dead);
    const diedAt = trial.time.now();
    await trial.run(500);
    expect(trial.getOwners('e1')).to.deep.equal([]);
    await trial.run(LEASE_MS - 500);
    expect(trial.getOwners('e1')).to.deep.equal([]);
    await trial.run(1500);
    const [next] = trial.getOwners('e1');
    expect(next).not.to.equal(dead);
    expect(trial.time.now() - diedAt).to.be.greaterThan(LEASE_MS);
  });

  it('has a fencing number that only grows', async () => {
    const trial = createTrial(3);
    await trial.run(4000);
    const [dead] = trial.getOwners('e1');
    const before = trial.getFence(dead, 'e1')!;
    trial.kill(dead);
    await trial.run(6000);
    const [next] = trial.getOwners('e1');
    expect(trial.getFence(next, 'e1')).to.be.greaterThan(before);
  });

  it('gives no order once the lease is nearly over, nor after the clock was suspended', async () => {
    const trial = createTrial(1);
    await trial.run(4000);
    const [vm] = trial.getOwners('e1');
    trial.vms.get(vm)!.suspendedMs += 5000;
    expect(trial.getFence(vm, 'e1')).to.equal(undefined);
    await trial.run(LEASE_MS);
    expect(trial.getFence(vm, 'e1')).not.to.equal(undefined);
    trial.vms.get(vm)!.leaseUntil = trial.time.now() + MARGIN_MS;
    expect(trial.getFence(vm, 'e1')).to.equal(undefined);
  });

  it('is not relied on by a VM that has registered anew, until it is recorded again', async () => {
    const trial = createTrial(2);
    await trial.run(4000);
    const [vm] = trial.getOwners('e1');
    const other = [...trial.vms.keys()].find((name) => name !== vm)!;
    trial.setMirror(vm, 'held');
    trial.loseLease(vm);
    await trial.run(500);
    expect(trial.getFence(vm, 'e1')).to.equal(undefined);
    trial.renewLease(vm);
    // The other VM has taken the engine meanwhile, which this VM does not see yet.
    expect(trial.getFence(vm, 'e1')).to.equal(undefined);
    await trial.run(500);
    expect(trial.getFence(vm, 'e1')).to.equal(undefined);
    trial.setMirror(vm, 'open');
    await trial.run(LEASE_MS + 1000);
    expect(trial.getOwners('e1')).to.deep.equal([other]);
  });

  it('ends at another VM’s word, though the store does not show it', async () => {
    const trial = createTrial(2);
    await trial.run(4000);
    const [vm] = trial.getOwners('e1');
    const fence = trial.getFence(vm, 'e1')!;
    trial.vms.get(vm)!.ownerships.handleClaim('e1', fence);
    expect(trial.getFence(vm, 'e1')).to.equal(fence);
    trial.vms.get(vm)!.ownerships.handleClaim('e1', fence + 5);
    expect(trial.getFence(vm, 'e1')).to.equal(undefined);
  });

  it('waits after a claim whose answer was lost as after one that was answered', async () => {
    const trial = createTrial(2);
    await trial.run(4000);
    const [dead] = trial.getOwners('e1');
    trial.kill(dead);
    trial.loseAnswersFor(1500);
    await trial.run(2500);
    expect(trial.getOwners('e1')).to.deep.equal([]);
    await trial.run(LEASE_MS + 1500);
    expect(trial.getOwners('e1')).to.have.length(1);
  });

  it('is spread over the VMs again when they are replaced in turn', async () => {
    const engines = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'];
    const trial = createTrial(8, engines);
    await trial.run(4000);
    for (const vm of [...trial.vms.keys()]) {
      trial.kill(vm);

      await trial.run(6000);
      trial.forget(vm);
      trial.restart(`${vm}0`);

      await trial.run(3000);
    }
    const counts = [...trial.vms.keys()].map(
      (vm) => engines.filter((engine) => trial.getOwners(engine).includes(vm)).length,
    );
    expect(Math.max(...counts)).to.equal(1);
  });

  it('is taken back at once by a VM that restarted, with a new number', async () => {
    const trial = createTrial(2);
    await trial.run(4000);
    const [vm] = trial.getOwners('e1');
    const before = trial.getFence(vm, 'e1')!;
    trial.restart(vm);
    await trial.run(600);
    expect(trial.getFence(vm, 'e1')).to.be.greaterThan(before);
  });
});

interface Machine {
  isAlive: boolean;
  leaseUntil: number;
  leaseNumber: number;
  /** What this VM sees of the store, while its copy is held back. */
  seen: Map<string, { key: string; revision: number; value: string }> | undefined;
  suspendedMs: number;
  ownerships: ReturnType<typeof createOwnerships>;
}

/** VMs on one store, with registrations that end as VMs die. */
function createTrial(count: number, engines = ENGINES) {
  const time = createVirtualClock();
  const entries = new Map<string, { key: string; revision: number; value: string }>();
  const vms = new Map<string, Machine>();
  let revision = 10;
  let loseUntil = -Infinity;

  const put = (key: string, value: string) => {
    revision += 1;
    entries.set(key, { key, revision, value });
    return revision;
  };
  const transact = async ({ compare, writes }: KeyValueTransaction) => {
    const isMet = compare.every((row) => (entries.get(row.key)?.revision ?? 0) === row.modRevision);
    if (isMet) {
      writes.forEach((write) => write.kind === 'put' && put(write.key, write.value));
    }
    if (time.now() < loseUntil) {
      return { ok: false as const, error: { kind: 'unknown' as const, reason: 'lost' } };
    }
    return { ok: true as const, value: { succeeded: isMet, revision, read: [] } };
  };

  function start(address: string): void {
    const machine: Omit<Machine, 'ownerships'> = {
      isAlive: true,
      leaseUntil: Infinity,
      leaseNumber: 1,
      seen: undefined,
      suspendedMs: 0,
    };
    const ownerships = createOwnerships(
      {
        ...time,
        keyValue: { transact },
        mirror: {
          tryGet: (key) => (machine.seen ?? entries).get(key),
          getAll: (prefix) =>
            [...(machine.seen ?? entries).values()].filter(({ key }) => key.startsWith(prefix)),
        },
        members: {
          hasLease: (at) => at < machine.leaseUntil,
          getLeaseNumber: () => machine.leaseNumber,
          isLeaseEndUnobserved: () => false,
          isLeaving: () => false,
        },
        getTimeOfDay: () => time.now() + machine.suspendedMs,
        onAcquired: () => {},
        onLost: () => {},
        log: () => {},
      },
      { address, incarnation: `${address}-${revision}`, leaseMs: LEASE_MS },
    );
    vms.set(address, Object.assign(machine, { ownerships }));
    put(`/baobablink/members/${address}`, '{}');
  }

  Array.from({ length: count }, (_, index) => start(`10.0.0.${index}:1`));

  async function run(forMs: number): Promise<void> {
    for (let spent = 0; spent < forMs; spent += 250) {
      vms.forEach((vm) => vm.isAlive && vm.ownerships.reconcile(engines));

      await time.advance(250);
    }
  }

  const getFence = (vm: string, engine: string) =>
    vms.get(vm)!.ownerships.tryGetFence(time.now(), engine);

  return {
    time,
    vms,
    run,
    getFence,
    getOwners: (engine: string) =>
      [...vms]
        .filter(([name, vm]) => vm.isAlive && getFence(name, engine) !== undefined)
        .map(([name]) => name),
    kill: (vm: string) => {
      vms.get(vm)!.isAlive = false;
      entries.delete(`/baobablink/members/${vm}`);
    },
    loseAnswersFor: (forMs: number) => {
      loseUntil = time.now() + forMs;
    },
    setMirror: (vm: string, mode: 'open' | 'held') => {
      vms.get(vm)!.seen = mode === 'held' ? new Map(entries) : undefined;
    },
    loseLease: (vm: string) => {
      vms.get(vm)!.leaseUntil = -Infinity;
      entries.delete(`/baobablink/members/${vm}`);
    },
    renewLease: (vm: string) => {
      Object.assign(vms.get(vm)!, { leaseUntil: Infinity, leaseNumber: 2 });
      put(`/baobablink/members/${vm}`, '{}');
    },
    forget: (vm: string) => vms.delete(vm),
    restart: start,
  };
}
