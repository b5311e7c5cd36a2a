import type Log from '../events/Log';
import type KeyValue from '../keyValue/KeyValue';
import type Members from '../members/Members';
import type Mirror from '../mirror/Mirror';
import rankByRendezvous from '../shared/rankByRendezvous';
import type Clock from '../shared/Clock';

const OWNER_PREFIX = '/baobablink/engines/';
const MEMBER_PREFIX = '/baobablink/members/';
/** An order must have left the machine before the lease ends by the store's clock. */
const LEASE_MARGIN_MS = 300;
/** After a start the registrations of the others need this long to be seen. */
const SETTLE_MS = 2500;
const CLAIM_PAUSE_MS = 500;
/** Another VM was first: its record is seen within this. */
const REFUSED_PAUSE_MS = 2000;
/** A clock step or a suspension: the lease is not relied on until it was renewed once more. */
const CLOCK_JUMP_MS = 200;

interface OwnershipsHost extends Clock {
  keyValue: Pick<KeyValue, 'transact'>;
  mirror: Pick<Mirror, 'tryGet' | 'getAll'>;
  members: Pick<Members, 'hasLease' | 'getLeaseNumber' | 'isLeaseEndUnobserved' | 'isLeaving'>;
  /** Time of day; only its jumps against the steady clock are looked at. */
  getTimeOfDay(): number;
  /** An engine was recorded as this VM's own. */
  onAcquired(engine: string, fence: number): void;
  onLost(engine: string): void;
  log: Log;
}

interface Ownership {
  fence: number;
  /** The registration under which it was recorded. */
  leaseNumber: number;
  /** No order before this: the former owner's last ones may be under way. */
  orderFrom: number;
}

/**
 * Which engines this VM gives orders to. A record names the owner of each engine; it changes only
 * by a compare-and-swap that also compares the former owner's lapsed registration. The record's
 * revision is the fencing number.
 */
export default function createOwnerships(
  host: OwnershipsHost,
  options: { address: string; incarnation: string; leaseMs: number },
) {
  const owned = new Map<string, Ownership>();
  const claimedAt = new Map<string, number>();
  /** Records that this VM knows to have written, and when orders may begin under them. */
  const written = new Map<string, { revision: number; orderFrom: number }>();
  const startedAt = host.now();
  let clockOffset = host.getTimeOfDay() - startedAt;
  let distrustUntil = -Infinity;

  /** Takes the engines that have no owner and fall to this VM; gives up those taken by others. */
  function reconcile(engines: readonly string[]): void {
    const now = host.now();
    [...owned.keys()].forEach((engine) => {
      const record = tryGetRecord(engine);
      const isOurs = record === undefined || record.holder === options.address;
      if (owned.get(engine)!.leaseNumber !== host.members.getLeaseNumber()) {
        lose(engine, 'registered anew');
      } else if (!isOurs || !engines.includes(engine)) {
        lose(engine, isOurs ? 'engine gone' : 'taken by another');
      }
    });
    if (host.members.isLeaving() || !host.members.hasLease(now)) {
      return;
    }
    const holders = engines.map((engine) => tryGetRecord(engine)?.holder);
    engines
      .filter((engine) => !owned.has(engine))
      .filter((engine) => now - (claimedAt.get(engine) ?? -Infinity) > CLAIM_PAUSE_MS)
      .filter((engine) => isClaimable(now, engine, holders))
      .forEach((engine) => {
        claimedAt.set(engine, now);
        claim(engine);
      });
  }

  function isClaimable(
    now: number,
    engine: string,
    holders: readonly (string | undefined)[],
  ): boolean {
    const record = tryGetRecord(engine);
    if (record?.holder === options.address) {
      return true;
    }
    if (now - startedAt < SETTLE_MS) {
      return false;
    }
    const isHeld = record && host.mirror.tryGet(`${MEMBER_PREFIX}${record.holder}`);
    return !isHeld && tryGetSuccessor(engine, holders) === options.address;
  }

  /**
   * The VM that takes an engine without an owner: of those that own the fewest, one by rendezvous.
   * All VMs see the same registrations, so that one of them claims.
   */
  function tryGetSuccessor(
    engine: string,
    holders: readonly (string | undefined)[],
  ): string | undefined {
    const registered = host.mirror
      .getAll(MEMBER_PREFIX)
      .map(({ key }) => key.slice(MEMBER_PREFIX.length));
    const getCount = (vm: string) => holders.filter((holder) => holder === vm).length;
    const fewest = Math.min(...registered.map(getCount));
    const candidates = registered.filter((vm) => getCount(vm) === fewest);
    return rankByRendezvous(engine, candidates)[0];
  }

  async function claim(engine: string): Promise<void> {
    const record = tryGetRecord(engine);
    const key = `${OWNER_PREFIX}${engine}`;
    const { address, incarnation } = options;
    const isAnothers = record !== undefined && record.holder !== address;
    // A record of this VM's own from a claim without an answer: another owner may just have ended.
    const isUnanswered =
      record?.holder === address &&
      record.incarnation === incarnation &&
      record.revision !== written.get(engine)?.revision;
    const leaseNumber = host.members.getLeaseNumber();
    const answer = await host.keyValue.transact({
      compare: [
        { key, modRevision: record?.revision ?? 0 },
        ...(isAnothers ? [{ key: `${MEMBER_PREFIX}${record.holder}`, modRevision: 0 }] : []),
      ],
      writes: [{ kind: 'put', key, value: JSON.stringify({ holder: address, incarnation }) }],
      readOnFailure: [],
    });
    const now = host.now();
    if (!answer.ok || !answer.value.succeeded) {
      claimedAt.set(engine, now + (answer.ok ? REFUSED_PAUSE_MS - CLAIM_PAUSE_MS : 0));
      host.log('ownershipRefused', {
        engine,
        reason: answer.ok ? 'condition not met' : answer.error.kind,
      });
      return;
    }
    const fence = answer.value.revision;
    const orderFrom =
      isAnothers || isUnanswered
        ? now + options.leaseMs + LEASE_MARGIN_MS
        : Math.max(now, written.get(engine)?.orderFrom ?? now);
    written.set(engine, { revision: fence, orderFrom });
    owned.set(engine, { fence, leaseNumber, orderFrom });
    host.log('engineTaken', {
      engine,
      fence,
      from: record?.holder,
      quietMs: Math.round(orderFrom - now),
    });
    host.onAcquired(engine, fence);
  }

  function lose(engine: string, reason: string): void {
    host.log('engineGivenUp', { engine, fence: owned.get(engine)?.fence, reason });
    owned.delete(engine);
    host.onLost(engine);
  }

  /** Takes another VM's word that it owns an engine now, which the store may not show here. */
  function handleClaim(engine: string, fence: number): void {
    const ownership = owned.get(engine);
    if (ownership && ownership.fence < fence) {
      lose(engine, 'claimed by another');
    }
  }

  function tryGetRecord(engine: string) {
    const entry = host.mirror.tryGet(`${OWNER_PREFIX}${engine}`);
    if (entry?.value === undefined) {
      return undefined;
    }
    const { holder, incarnation } = JSON.parse(entry.value) as Record<string, string>;
    return { holder, incarnation, revision: entry.revision };
  }

  /** The fencing number for an order that is sent now; undefined while none may be sent. */
  function tryGetFence(now: number, engine: string): number | undefined {
    const ownership = owned.get(engine);
    const isOld = ownership?.leaseNumber !== host.members.getLeaseNumber();
    if (!ownership || isOld || now < ownership.orderFrom || hasClockJumped(now)) {
      return undefined;
    }
    const isHeld =
      host.members.hasLease(now + LEASE_MARGIN_MS) || host.members.isLeaseEndUnobserved(now);
    return isHeld ? ownership.fence : undefined;
  }

  /** The steady clock does not count a suspension; the time of day does. */
  function hasClockJumped(now: number): boolean {
    const offset = host.getTimeOfDay() - now;
    if (Math.abs(offset - clockOffset) > CLOCK_JUMP_MS) {
      distrustUntil = now + options.leaseMs / 2;
      host.log('clockJumped', { byMs: Math.round(offset - clockOffset) });
    }
    clockOffset = offset;
    return now < distrustUntil;
  }

  return { reconcile, handleClaim, tryGetFence, getOwned: () => [...owned.keys()] };
}
