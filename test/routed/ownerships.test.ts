import { expect } from 'chai';
import REVISIONS_PER_GENERATION from '../../src/keyValue/REVISIONS_PER_GENERATION';
import createOwnerships from '../../src/engines/createOwnerships';
import type KeyValueTransaction from '../../src/keyValue/KeyValueTransaction';
import createVirtualClock from '../scenario/createVirtualClock';

const LEASE_MS = 3000;
const MARGIN_MS = 300;
const RUN = 7;
const ENGINES = ['e1', 'e2', 'e3', 'e4'];

describe('ownership of engines', () => {
  it('is held by exactly one VM for each engine', async () => {
    const fixture = createTestVms(3);
    await fixture.run(4000);
    const owners = ENGINES.map((engine) => fixture.getOwners(engine));
    owners.forEach((vms) => expect(vms).to.have.length(1));
  });

  it('passes to another VM after the owner dies, but not before its lease expires', async () => {
    const fixture = createTestVms(3);
    await fixture.run(4000);
    const [deadVm] = fixture.getOwners('e1');
    fixture.killVm(deadVm);
    const diedAt = fixture.clock.now();
    await fixture.run(500);
    expect(fixture.getOwners('e1')).to.deep.equal([]);
    await fixture.run(LEASE_MS - 500);
    expect(fixture.getOwners('e1')).to.deep.equal([]);
    await fixture.run(1500);
    const [newOwner] = fixture.getOwners('e1');
    expect(newOwner).not.to.equal(deadVm);
    expect(fixture.clock.now() - diedAt).to.be.greaterThan(LEASE_MS);
  });

  it('passes to a VM in reach of upstreams after its owner has lost them, after a quiet time', async () => {
    const fixture = createTestVms(3);
    await fixture.run(4000);
    const [owner] = fixture.getOwners('e1');
    const partitioned = [owner, [...fixture.vms.keys()].find((vm) => vm !== owner)!];
    const since = fixture.clock.now();
    partitioned.forEach((vm) => {
      fixture.vms.get(vm)!.partitionedAt = since;
    });
    await fixture.run(2000);
    expect(
      ENGINES.flatMap(fixture.getOwners).filter((vm) => partitioned.includes(vm)),
    ).to.deep.equal([]);
    expect(fixture.getOwners('e1')).to.deep.equal([]);
    await fixture.run(LEASE_MS);
    ENGINES.forEach((engine) => {
      expect(fixture.getOwners(engine)).to.have.length(1);
      expect(partitioned).not.to.include(fixture.getOwners(engine)[0]);
    });
  });

  it('keeps the quiet time of a takeover if the new owner is restarted in it', async () => {
    const fixture = createTestVms(2);
    await fixture.run(4000);
    const [deadVm] = fixture.getOwners('e1');
    const successor = [...fixture.vms.keys()].find((vm) => vm !== deadVm)!;
    fixture.killVm(deadVm);
    const diedAt = fixture.clock.now();
    await fixture.run(1000);
    fixture.removeVm(successor);
    fixture.restartVm(successor);
    await fixture.run(LEASE_MS - 1250);
    expect(fixture.getOwners('e1')).to.deep.equal([]);
    await fixture.run(2000 + 2 * MARGIN_MS);
    expect(fixture.getOwners('e1')).to.deep.equal([successor]);
    expect(fixture.clock.now() - diedAt).to.be.greaterThan(LEASE_MS);
  });

  it('tells a later owner in which run of the engine the first one claimed it', async () => {
    const fixture = createTestVms(2);
    await fixture.run(4000);
    const [deadVm] = fixture.getOwners('e1');
    const successor = [...fixture.vms.keys()].find((vm) => vm !== deadVm)!;
    const { formers } = fixture.vms.get(successor)!;
    expect(formers).not.to.include.deep.members([{ firstRun: RUN }]);
    fixture.killVm(deadVm);
    await fixture.run(LEASE_MS + 2000);
    expect(formers).to.include.deep.members([{ firstRun: RUN }]);
  });

  it('keeps its fencing number when the quiet time of a takeover is recorded as over', async () => {
    const fixture = createTestVms(2);
    await fixture.run(4000);
    const [deadVm] = fixture.getOwners('e1');
    const successor = [...fixture.vms.keys()].find((vm) => vm !== deadVm)!;
    fixture.killVm(deadVm);
    while (fixture.getFence(successor, 'e1') === undefined) {
      await fixture.run(10);
    }
    const fence = fixture.getFence(successor, 'e1')!;
    await fixture.run(3000);
    expect(fixture.getFence(successor, 'e1')).to.equal(fence);
  });

  it('is used at once by an owner that restarts after the quiet time of its takeover', async () => {
    const fixture = createTestVms(2);
    await fixture.run(4000);
    const [deadVm] = fixture.getOwners('e1');
    const successor = [...fixture.vms.keys()].find((vm) => vm !== deadVm)!;
    fixture.killVm(deadVm);
    await fixture.run(LEASE_MS + 2000);
    const fence = fixture.getFence(successor, 'e1')!;
    fixture.removeVm(successor);
    fixture.restartVm(successor);
    await fixture.run(600);
    expect(fixture.getFence(successor, 'e1')).to.be.greaterThan(fence);
  });

  it('stays with an owner that gets no response to its claim, nor to the end of its quiet time', async () => {
    const fixture = createTestVms(2);
    await fixture.run(4000);
    const [deadVm] = fixture.getOwners('e1');
    const successor = [...fixture.vms.keys()].find((vm) => vm !== deadVm)!;
    fixture.killVm(deadVm);
    await fixture.run(1000);
    fixture.loseResponsesFor(LEASE_MS + 1000);
    await fixture.run(LEASE_MS + 1000);
    expect(fixture.getOwners('e1')).to.deep.equal([successor]);
    const fence = fixture.getFence(successor, 'e1')!;
    await fixture.run(3000);
    expect(fixture.getOwners('e1')).to.deep.equal([successor]);
    expect(fixture.getFence(successor, 'e1')).to.be.at.least(fence);
  });

  it('stays where it is if no VM reaches an upstream', async () => {
    const fixture = createTestVms(2);
    await fixture.run(4000);
    const before = ENGINES.map((engine) => fixture.getOwners(engine));
    fixture.vms.forEach((vm) => Object.assign(vm, { partitionedAt: fixture.clock.now() }));
    await fixture.run(4000);
    expect(ENGINES.map((engine) => fixture.getOwners(engine))).to.deep.equal(before);
  });

  it('has a higher fencing number with each new owner', async () => {
    const fixture = createTestVms(3);
    await fixture.run(4000);
    const [deadVm] = fixture.getOwners('e1');
    const previousFence = fixture.getFence(deadVm, 'e1')!;
    fixture.killVm(deadVm);
    await fixture.run(6000);
    const [newOwner] = fixture.getOwners('e1');
    expect(fixture.getFence(newOwner, 'e1')).to.be.greaterThan(previousFence);
  });

  it('has no fencing number shortly before the lease ends or after a VM suspension', async () => {
    const fixture = createTestVms(1);
    await fixture.run(4000);
    const [vm] = fixture.getOwners('e1');
    fixture.vms.get(vm)!.suspendedMs += 5000;
    expect(fixture.getFence(vm, 'e1')).to.equal(undefined);
    await fixture.run(LEASE_MS);
    expect(fixture.getFence(vm, 'e1')).not.to.equal(undefined);
    fixture.vms.get(vm)!.leaseUntil = fixture.clock.now() + MARGIN_MS;
    expect(fixture.getFence(vm, 'e1')).to.equal(undefined);
  });

  it('is invalid on a VM with a new lease until the VM is recorded as owner again', async () => {
    const fixture = createTestVms(2);
    await fixture.run(4000);
    const [vm] = fixture.getOwners('e1');
    const other = [...fixture.vms.keys()].find((name) => name !== vm)!;
    fixture.setMirror(vm, 'frozen');
    fixture.loseLease(vm);
    await fixture.run(500);
    expect(fixture.getFence(vm, 'e1')).to.equal(undefined);
    fixture.renewLease(vm);
    // The other VM has claimed the engine meanwhile, which this VM's mirror does not show yet.
    expect(fixture.getFence(vm, 'e1')).to.equal(undefined);
    await fixture.run(500);
    expect(fixture.getFence(vm, 'e1')).to.equal(undefined);
    fixture.setMirror(vm, 'current');
    await fixture.run(LEASE_MS + 1000);
    expect(fixture.getOwners('e1')).to.deep.equal([other]);
  });

  it('ends if another VM announces a newer claim that the mirror does not show yet', async () => {
    const fixture = createTestVms(2);
    await fixture.run(4000);
    const [vm] = fixture.getOwners('e1');
    const fence = fixture.getFence(vm, 'e1')!;
    fixture.vms.get(vm)!.ownerships.handleClaim('e1', fence);
    expect(fixture.getFence(vm, 'e1')).to.equal(fence);
    fixture.vms.get(vm)!.ownerships.handleClaim('e1', fence + 5);
    expect(fixture.getFence(vm, 'e1')).to.equal(undefined);
  });

  it('does not pass back at once to a former owner that an older copy of the records names', async () => {
    const fixture = createTestVms(3);
    await fixture.run(4000);
    const [former] = fixture.getOwners('e1');
    const restore = fixture.createCopy();
    fixture.killVm(former);
    await fixture.run(8000);
    const [owner] = fixture.getOwners('e1');
    expect(owner).not.to.equal(former);
    fixture.restartVm(former);
    await fixture.run(4000);
    // The present owner learns of the restore later than the others.
    fixture.setMirror(owner, 'frozen');
    restore();
    let ownedUntil = fixture.clock.now();
    for (let elapsedMs = 0; elapsedMs < 1500; elapsedMs += 250) {
      await fixture.run(250);
      expect(fixture.getOwners('e1')).to.deep.equal([owner]);
      ownedUntil = fixture.clock.now();
    }
    fixture.setMirror(owner, 'current');
    while (fixture.getOwners('e1').join() !== former) {
      await fixture.run(250);
      expect(fixture.getOwners('e1').filter((vm) => vm !== former)).to.deep.equal([]);
    }
    expect(fixture.clock.now() - ownedUntil).to.be.at.least(LEASE_MS);
  });

  it('goes on after a restore that names the present owner, with a higher fencing number', async () => {
    const fixture = createTestVms(3);
    await fixture.run(4000);
    const [owner] = fixture.getOwners('e1');
    const fence = fixture.getFence(owner, 'e1')!;
    const restore = fixture.createCopy();
    await fixture.run(4000);
    restore();
    await fixture.run(1500);
    expect(fixture.getOwners('e1')).to.deep.equal([owner]);
    expect(fixture.getFence(owner, 'e1')).to.be.greaterThan(fence);
  });

  it('ends on all VMs if a restore has lost its record, until one may send commands', async () => {
    const fixture = createTestVms(3);
    const restore = fixture.createCopy();
    await fixture.run(8000);
    const [owner] = fixture.getOwners('e1');
    restore();
    await fixture.run(500);
    const owners = fixture.getOwners('e1');
    expect(owners.filter((vm) => vm !== owner)).to.deep.equal([]);
    await fixture.run(8000);
    expect(fixture.getOwners('e1')).to.have.length(1);
  });

  it('waits after a claim without a response as long as after one with a response', async () => {
    const fixture = createTestVms(2);
    await fixture.run(4000);
    const [deadVm] = fixture.getOwners('e1');
    fixture.killVm(deadVm);
    fixture.loseResponsesFor(1500);
    await fixture.run(2500);
    expect(fixture.getOwners('e1')).to.deep.equal([]);
    await fixture.run(LEASE_MS + 1500);
    expect(fixture.getOwners('e1')).to.have.length(1);
  });

  it('is distributed evenly over the VMs after each of them has been replaced', async () => {
    const engines = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'];
    const fixture = createTestVms(8, engines);
    await fixture.run(4000);
    for (const vm of [...fixture.vms.keys()]) {
      fixture.killVm(vm);

      await fixture.run(6000);
      fixture.removeVm(vm);
      fixture.restartVm(`${vm}0`);

      await fixture.run(3000);
    }
    const counts = [...fixture.vms.keys()].map(
      (vm) => engines.filter((engine) => fixture.getOwners(engine).includes(vm)).length,
    );
    expect(Math.max(...counts)).to.equal(1);
  });

  it('is claimed again immediately by a restarted VM, with a higher fencing number', async () => {
    const fixture = createTestVms(2);
    await fixture.run(4000);
    const [vm] = fixture.getOwners('e1');
    const previousFence = fixture.getFence(vm, 'e1')!;
    fixture.restartVm(vm);
    await fixture.run(600);
    expect(fixture.getFence(vm, 'e1')).to.be.greaterThan(previousFence);
  });
});

interface TestVm {
  isAlive: boolean;
  leaseUntil: number;
  leaseNumber: number;
  /** The state of this VM's mirror while it receives no changes; undefined while it is current. */
  frozenMirror: Map<string, { key: string; revision: number; value: string }> | undefined;
  frozenGeneration: number | undefined;
  suspendedMs: number;
  /** When the VM lost its reach of upstreams; Infinity while it has it. */
  partitionedAt: number;
  /** What the VM was told of former owners, for each engine that it claimed. */
  formers: ({ firstRun: number | undefined } | undefined)[];
  ownerships: ReturnType<typeof createOwnerships>;
}

/** Creates VMs on one key-value service; killing a VM removes its registration. */
function createTestVms(count: number, engines = ENGINES) {
  const clock = createVirtualClock();
  const entries = new Map<string, { key: string; revision: number; value: string }>();
  const vms = new Map<string, TestVm>();
  let revision = REVISIONS_PER_GENERATION + 10;
  let loseResponsesUntil = -Infinity;

  const put = (key: string, value: string) => {
    revision += 1;
    entries.set(key, { key, revision, value });
    return revision;
  };
  let generation = 1;
  let restoredAt = -Infinity;
  const transact = async ({ compare, writes }: KeyValueTransaction) => {
    const isMet = compare.every((row) => (entries.get(row.key)?.revision ?? 0) === row.modRevision);
    if (isMet) {
      writes.forEach((write) => write.kind === 'put' && put(write.key, write.value));
    }
    if (clock.now() < loseResponsesUntil) {
      return { ok: false as const, error: { kind: 'unknown' as const, reason: 'lost' } };
    }
    return { ok: true as const, value: { succeeded: isMet, revision, read: [] } };
  };

  function startVm(address: string): void {
    const vm: Omit<TestVm, 'ownerships'> = {
      isAlive: true,
      leaseUntil: Infinity,
      leaseNumber: 1,
      frozenMirror: undefined,
      frozenGeneration: undefined,
      suspendedMs: 0,
      partitionedAt: Infinity,
      formers: [],
    };
    const ownerships = createOwnerships(
      {
        ...clock,
        keyValue: { transact },
        mirror: {
          tryGet: (key) => (vm.frozenMirror ?? entries).get(key),
          getGeneration: () => vm.frozenGeneration ?? generation,
          getRestoredAt: () => restoredAt,
          getAll: (prefix) =>
            [...(vm.frozenMirror ?? entries).values()].filter(({ key }) => key.startsWith(prefix)),
        },
        members: {
          hasLease: (at) => at < vm.leaseUntil,
          getLeaseNumber: () => vm.leaseNumber,
          getLeaseGapMs: () => 0,
          isLeaseEndUnobserved: () => false,
          isLeaving: () => false,
        },
        getTimeOfDay: () => clock.now() + vm.suspendedMs,
        getPartitionedMs: (now) => Math.max(0, now - vm.partitionedAt),
        isPeerPartitioned: (now, name) => now > vms.get(name)!.partitionedAt,
        onAcquired: (_engine, _fence, former) => vm.formers.push(former),
        tryGetRun: () => RUN,
        onLost: () => {},
        log: () => {},
      },
      { address, incarnation: `${address}-${revision}`, leaseMs: LEASE_MS },
    );
    vms.set(address, Object.assign(vm, { ownerships }));
    put(`/baobablink/members/${address}`, '{}');
  }

  Array.from({ length: count }, (_, index) => startVm(`10.0.0.${index}:1`));

  async function run(forMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += 250) {
      vms.forEach((vm) => vm.isAlive && vm.ownerships.reconcile(engines));

      await clock.advance(250);
    }
  }

  const getFence = (vm: string, engine: string) =>
    vms.get(vm)!.ownerships.tryGetFence(clock.now(), engine);

  return {
    clock,
    vms,
    run,
    getFence,
    getOwners: (engine: string) =>
      [...vms]
        .filter(([name, vm]) => vm.isAlive && getFence(name, engine) !== undefined)
        .map(([name]) => name),
    killVm: (vm: string) => {
      vms.get(vm)!.isAlive = false;
      entries.delete(`/baobablink/members/${vm}`);
    },
    loseResponsesFor: (forMs: number) => {
      loseResponsesUntil = clock.now() + forMs;
    },
    setMirror: (vm: string, mode: 'current' | 'frozen') => {
      const isFrozen = mode === 'frozen';
      vms.get(vm)!.frozenMirror = isFrozen ? new Map(entries) : undefined;
      vms.get(vm)!.frozenGeneration = isFrozen ? generation : undefined;
    },
    loseLease: (vm: string) => {
      vms.get(vm)!.leaseUntil = -Infinity;
      entries.delete(`/baobablink/members/${vm}`);
    },
    renewLease: (vm: string) => {
      Object.assign(vms.get(vm)!, { leaseUntil: Infinity, leaseNumber: 2 });
      put(`/baobablink/members/${vm}`, '{}');
    },
    /** Returns a function that brings the present records back, as a restore does. */
    createCopy: () => {
      const copy = new Map(entries);
      return () => {
        generation += 1;
        restoredAt = clock.now();
        revision = generation * REVISIONS_PER_GENERATION;
        entries.clear();
        copy.forEach(({ key, value }) => put(key, value));
        vms.forEach((vm, address) => vm.isAlive && put(`/baobablink/members/${address}`, '{}'));
      };
    },
    removeVm: (vm: string) => vms.delete(vm),
    restartVm: startVm,
  };
}
