import type Log from '../events/Log';
import getGeneration from '../keyValue/getGeneration';
import type KeyValue from '../keyValue/KeyValue';
import type Members from '../members/Members';
import type Mirror from '../mirror/Mirror';
import rankByRendezvous from '../shared/rankByRendezvous';
import type Clock from '../shared/Clock';
import chooseSuccessors from './chooseSuccessors';
import createClockJumpDetector from './createClockJumpDetector';
import type EngineOwnership from './EngineOwnership';
import type OwnershipRecord from './OwnershipRecord';
import readOwnershipRecord from './readOwnershipRecord';

const OWNER_PREFIX = '/baobablink/engines/';
const MEMBER_PREFIX = '/baobablink/members/';
/** A command must have left this VM before the lease ends by the key-value service's clock. */
const LEASE_MARGIN_MS = 300;
/** Time after a start until the registrations of the other VMs have reached this one. */
const STARTUP_SETTLE_MS = 2500;
/** Time after a restore of the key-value service until every VM has learned of it. */
const RESTORE_LAG_MS = 2000;
/**
 * An owner whose lease lapsed for less than this, since the service was away, goes on with its record:
 * no other VM can have claimed the engine and waited until it may send commands.
 */
const MAX_LEASE_GAP_MS = 1000;
/** Generation of a key-value service that has never come back from a copy. */
const FIRST_GENERATION = 1;
const CLAIM_RETRY_MS = 500;
/** An owner that reaches no upstream for this long gives its engines up. */
const GIVE_UP_AFTER_MS = 1000;
/** Holder in the record of an engine that its owner has given up. */
const NO_HOLDER = '';
/** Interval at which the end of a quiet time is written again if no response confirmed it. */
const SETTLE_RETRY_MS = 2000;
/** When another VM's claim came first, its record reaches this VM's mirror within this time. */
const REFUSED_CLAIM_RETRY_MS = 2000;
interface OwnershipsHost extends Clock {
  keyValue: Pick<KeyValue, 'transact'>;
  mirror: Pick<Mirror, 'tryGet' | 'getAll' | 'getGeneration' | 'getRestoredAt'>;
  members: Pick<
    Members,
    'hasLease' | 'getLeaseNumber' | 'getLeaseGapMs' | 'isLeaseEndUnobserved' | 'isLeaving'
  >;
  /** Returns the time of day; only its jumps relative to the steady clock matter. */
  getTimeOfDay(): number;
  /** Returns for how long this VM has reached no upstream, in milliseconds; 0 if it reaches any. */
  getPartitionedMs(now: number): number;
  /** Returns whether another VM reaches no upstream. */
  isPeerPartitioned(now: number, vm: string): boolean;
  /**
   * Called once this VM is recorded as the owner of an engine. `former` is stated if another process
   * may have sent commands to the engine, `firstRun` being the run in which it was first claimed.
   */
  onAcquired(engine: string, fence: number, former?: { firstRun: number | undefined }): void;
  /** Returns the start time of an engine's present run, as far as this VM knows. */
  tryGetRun(engine: string): number | undefined;
  onLost(engine: string): void;
  log: Log;
}

/**
 * Claims engines for this VM and tracks which ones it owns; only the owner of an engine sends
 * commands to it. A record names the owner of each engine. It changes only by a compare-and-swap
 * whose condition includes that the former owner's registration has expired. The record's revision
 * is the fencing number.
 */
export default function createOwnerships(
  host: OwnershipsHost,
  options: { address: string; incarnation: string; leaseMs: number },
) {
  const owned = new Map<string, EngineOwnership>();
  const claimAttemptedAt = new Map<string, number>();
  const settleAttemptedAt = new Map<string, number>();
  /** Ownerships that ended as the key-value service came back from an older copy. */
  const interrupted = new Map<string, EngineOwnership>();
  /** Records whose write was confirmed to this VM, and the time from which it may send commands. */
  const writtenRecords = new Map<string, { revision: number; sendAfter: number }>();
  /** Records that have been read, by engine. */
  const records = new Map<string, OwnershipRecord>();
  const startedAt = host.now();
  const hasClockJumped = createClockJumpDetector(host, options.leaseMs / 2);

  /**
   * Ends the ownerships that are no longer valid and claims the engines without an owner for which
   * this VM is the successor.
   */
  function reconcile(engines: readonly string[]): void {
    const now = host.now();
    [...owned.keys()].forEach((engine) => {
      const record = tryGetRecord(engine);
      const isOwnRecord = record === undefined || record.holder === options.address;
      const ownership = owned.get(engine)!;
      if (getGeneration(ownership.fence) < host.mirror.getGeneration()) {
        endOwnership(engine, 'store restored');
        interrupted.set(engine, ownership);
      } else if (owned.get(engine)!.leaseNumber !== host.members.getLeaseNumber()) {
        endOwnership(engine, 'registered anew');
      } else if (!isOwnRecord || !engines.includes(engine)) {
        endOwnership(engine, isOwnRecord ? 'engine gone' : 'taken by another');
      }
    });
    if (host.members.isLeaving() || !host.members.hasLease(now)) {
      return;
    }
    const partitionedMs = host.getPartitionedMs(now);
    if (partitionedMs > 0) {
      if (partitionedMs >= GIVE_UP_AFTER_MS && getCandidates(now).length > 0) {
        [...owned.keys()].forEach(giveUp);
      }
      return;
    }
    [...owned.keys()].filter((engine) => isSettleDue(now, engine)).forEach(settle);
    let successors: string[] | undefined;
    const getSuccessors = () => {
      successors ??= chooseSuccessors(
        getCandidates(now),
        engines.map((engine) => tryGetRecord(engine)?.holder),
      );
      return successors;
    };
    engines
      .filter((engine) => !owned.has(engine))
      .filter((engine) => now - (claimAttemptedAt.get(engine) ?? -Infinity) > CLAIM_RETRY_MS)
      .filter((engine) => isClaimable(now, engine, getSuccessors))
      .forEach((engine) => {
        claimAttemptedAt.set(engine, now);
        claim(engine);
      });
  }

  function isClaimable(
    now: number,
    engine: string,
    getSuccessors: () => readonly string[],
  ): boolean {
    const record = tryGetRecord(engine);
    if (record?.holder === options.address) {
      return true;
    }
    if (now - startedAt < STARTUP_SETTLE_MS) {
      return false;
    }
    const isHolderRegistered = record && host.mirror.tryGet(`${MEMBER_PREFIX}${record.holder}`);
    // The first by rendezvous hashing claims. All VMs read the same registrations, so that only one of
    // them does.
    return !isHolderRegistered && rankByRendezvous(engine, getSuccessors())[0] === options.address;
  }

  /** Returns the registered VMs that can reach engines. */
  function getCandidates(now: number): string[] {
    return host.mirror
      .getAll(MEMBER_PREFIX)
      .map(({ key }) => key.slice(MEMBER_PREFIX.length))
      .filter((vm) =>
        vm === options.address
          ? host.getPartitionedMs(now) === 0
          : !host.isPeerPartitioned(now, vm),
      );
  }

  /** Ends the ownership of an engine that this VM does not reach, so that another VM can claim it. */
  async function giveUp(engine: string): Promise<void> {
    const { recordRevision } = owned.get(engine)!;
    endOwnership(engine, 'no upstream in reach');
    const generation = host.mirror.getGeneration();
    const firstRun = tryGetRecord(engine)?.firstRun;
    const record = { holder: NO_HOLDER, incarnation: '', generation, firstRun };
    const key = `${OWNER_PREFIX}${engine}`;
    const response = await host.keyValue.transact({
      compare: [{ key, modRevision: recordRevision }],
      writes: [{ kind: 'put', key, value: JSON.stringify(record) }],
      readOnFailure: [],
    });
    if (!response.ok || !response.value.succeeded) {
      const reason = response.ok ? 'condition not met' : response.error.kind;
      host.log('ownershipRefused', { engine, reason });
    }
  }

  /** Returns whether the quiet time after a takeover has ended and the record does not say so yet. */
  function isSettleDue(now: number, engine: string): boolean {
    const record = tryGetRecord(engine);
    const { recordRevision, sendAfter } = owned.get(engine)!;
    return (
      record?.isTakeover === true &&
      record.revision === recordRevision &&
      now >= sendAfter &&
      now - (settleAttemptedAt.get(engine) ?? -Infinity) > SETTLE_RETRY_MS
    );
  }

  /**
   * Records that the quiet time after a takeover has ended, so that this VM does not wait again after
   * a restart: when all VMs restart at once, no engine would load an adapter for that time.
   */
  async function settle(engine: string): Promise<void> {
    const ownership = owned.get(engine)!;
    settleAttemptedAt.set(engine, host.now());
    const { address: holder, incarnation } = options;
    const generation = host.mirror.getGeneration();
    const key = `${OWNER_PREFIX}${engine}`;
    const firstRun = tryGetRecord(engine)?.firstRun;
    const response = await host.keyValue.transact({
      compare: [{ key, modRevision: ownership.recordRevision }],
      writes: [
        {
          kind: 'put',
          key,
          value: JSON.stringify({ holder, incarnation, generation, isTakeover: false, firstRun }),
        },
      ],
      readOnFailure: [],
    });
    if (!response.ok || !response.value.succeeded) {
      const reason = response.ok ? 'condition not met' : response.error.kind;
      host.log('ownershipRefused', { engine, reason });
      return;
    }
    settleAttemptedAt.delete(engine);
    if (owned.get(engine) === ownership) {
      const { revision } = response.value;
      owned.set(engine, { ...ownership, recordRevision: revision });
      writtenRecords.set(engine, { revision, sendAfter: ownership.sendAfter });
    }
  }

  async function claim(engine: string): Promise<void> {
    const record = tryGetRecord(engine);
    const key = `${OWNER_PREFIX}${engine}`;
    const { address, incarnation } = options;
    const isOwnedByOther = record !== undefined && record.holder !== address;
    // The record stems from an earlier claim of this VM that got no response. Another VM may have
    // owned the engine until then.
    const isFromUnansweredClaim =
      record?.holder === address &&
      record.incarnation === incarnation &&
      record.revision !== writtenRecords.get(engine)?.revision;
    const isFormerTakeover =
      record?.holder === address && record.incarnation !== incarnation && record.isTakeover;
    const leaseNumber = host.members.getLeaseNumber();
    const generation = host.mirror.getGeneration();
    const isFirstClaim = record === undefined && generation <= FIRST_GENERATION;
    const firstRun = isFirstClaim ? host.tryGetRun(engine) : record?.firstRun;
    const isTakeover =
      isOwnedByOther ||
      isFromUnansweredClaim ||
      isFormerTakeover ||
      (record ? record.generation < generation : generation > FIRST_GENERATION) ||
      host.now() < (writtenRecords.get(engine)?.sendAfter ?? -Infinity);
    const response = await host.keyValue.transact({
      compare: [
        { key, modRevision: record?.revision ?? 0 },
        ...(isOwnedByOther ? [{ key: `${MEMBER_PREFIX}${record.holder}`, modRevision: 0 }] : []),
      ],
      writes: [
        {
          kind: 'put',
          key,
          value: JSON.stringify({ holder: address, incarnation, generation, isTakeover, firstRun }),
        },
      ],
      readOnFailure: [],
    });
    const now = host.now();
    if (!response.ok || !response.value.succeeded) {
      claimAttemptedAt.set(
        engine,
        now + (response.ok ? REFUSED_CLAIM_RETRY_MS - CLAIM_RETRY_MS : 0),
      );
      host.log('ownershipRefused', {
        engine,
        reason: response.ok ? 'condition not met' : response.error.kind,
      });
      return;
    }
    const fence = response.value.revision;
    const sendAfter = getSendAfter(now, engine, record, {
      isOwnedByOther,
      isFromUnansweredClaim,
      isFormerTakeover,
    });
    const isOwnRecord = record?.holder === address && record.incarnation === incarnation;
    const hadOthers = !isFirstClaim && (!isOwnRecord || isFromUnansweredClaim);
    interrupted.delete(engine);
    writtenRecords.set(engine, { revision: fence, sendAfter });
    owned.set(engine, { fence, recordRevision: fence, leaseNumber, sendAfter });
    host.log('engineTaken', {
      engine,
      fence,
      from: record?.holder,
      quietMs: Math.round(sendAfter - now),
    });
    host.onAcquired(engine, fence, hadOthers ? { firstRun } : undefined);
  }

  /** Returns the time from which this VM may send commands under a claim that was confirmed. */
  function getSendAfter(
    now: number,
    engine: string,
    record: ReturnType<typeof tryGetRecord>,
    former: {
      isOwnedByOther: boolean;
      isFromUnansweredClaim: boolean;
      /** Whether a former process of this VM claimed it, and may have had to wait. */
      isFormerTakeover: boolean;
    },
  ): number {
    const takeoverAt = now + options.leaseMs + LEASE_MARGIN_MS;
    const held = interrupted.get(engine);
    if (held && !former.isOwnedByOther && host.members.getLeaseGapMs() < MAX_LEASE_GAP_MS) {
      return Math.max(now, held.sendAfter);
    }
    if (record && record.generation < host.mirror.getGeneration()) {
      // The record is older than the restore: another VM may have owned the engine since then.
      return takeoverAt + RESTORE_LAG_MS;
    }
    if (former.isFormerTakeover) {
      const isRestored = host.mirror.getGeneration() > FIRST_GENERATION;
      return takeoverAt + (isRestored ? RESTORE_LAG_MS : 0);
    }
    if (former.isOwnedByOther || former.isFromUnansweredClaim) {
      return takeoverAt;
    }
    const isRestorePossible = !record && host.mirror.getGeneration() > FIRST_GENERATION;
    const knownSince = Math.max(host.mirror.getRestoredAt(), startedAt);
    return Math.max(
      now,
      writtenRecords.get(engine)?.sendAfter ?? now,
      isRestorePossible ? knownSince + options.leaseMs + RESTORE_LAG_MS : now,
    );
  }

  function endOwnership(engine: string, reason: string): void {
    host.log('engineGivenUp', { engine, fence: owned.get(engine)?.fence, reason });
    owned.delete(engine);
    host.onLost(engine);
  }

  /**
   * Ends this VM's ownership when another VM announces a newer claim, which this VM's mirror of the
   * key-value service may not contain yet.
   */
  function handleClaim(engine: string, fence: number): void {
    const ownership = owned.get(engine);
    if (ownership && ownership.fence < fence) {
      endOwnership(engine, 'claimed by another');
    }
    interrupted.delete(engine);
  }

  function tryGetRecord(engine: string): OwnershipRecord | undefined {
    const entry = host.mirror.tryGet(`${OWNER_PREFIX}${engine}`);
    if (entry?.value === undefined) {
      records.delete(engine);
      return undefined;
    }
    const known = records.get(engine);
    if (known?.revision === entry.revision) {
      return known;
    }
    const record = readOwnershipRecord(entry.value, entry.revision);
    records.set(engine, record);
    return record;
  }

  /**
   * Returns the fencing number for a command that is sent now, or undefined while this VM may not
   * send any.
   */
  function tryGetFence(now: number, engine: string): number | undefined {
    const ownership = owned.get(engine);
    const hasOldLease = ownership?.leaseNumber !== host.members.getLeaseNumber();
    const isRestored =
      ownership !== undefined && getGeneration(ownership.fence) < host.mirror.getGeneration();
    if (
      !ownership ||
      hasOldLease ||
      isRestored ||
      now < ownership.sendAfter ||
      hasClockJumped(now)
    ) {
      return undefined;
    }
    const canSend =
      host.members.hasLease(now + LEASE_MARGIN_MS) || host.members.isLeaseEndUnobserved(now);
    return canSend ? ownership.fence : undefined;
  }

  return { reconcile, handleClaim, tryGetFence, getOwned: () => [...owned.keys()] };
}
