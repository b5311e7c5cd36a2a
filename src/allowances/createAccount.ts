import type AllowanceBounds from './AllowanceBounds';
import type AllowanceLimit from './AllowanceLimit';
import LEASE_MS from './LEASE_MS';
import getCapacities from './getCapacities';

const MS_PER_SECOND = 1000;
/** Refused callers are spread over at most this time. */
const MAX_RETRY_AFTER_MS = 10_000;
/** More than was wanted is lent only from the part of the account above this. */
const MIN_LEVEL_PART_AHEAD = 0.25;

interface Position {
  /** Number of the newest request; older ones are late. */
  newestId: number;
  /** What the VM held unsent at that request. */
  unspent: number;
  /** What the reply lent in addition. */
  granted: number;
  expiresAt: number;
}

/** What a VM wants from an account, and what it holds of it. */
interface Wanted {
  id: number;
  /** Number of the newest reply that the VM has received. */
  acknowledged: number;
  /** Amounts of requests that wait; each is granted as a whole. */
  amounts: readonly number[];
  /** Amount that the VM would use soon. */
  ahead: number;
  /** What the VM holds and has not sent to an upstream. */
  unspent: number;
  /** What it no longer holds, and did not send. */
  returned: number;
  /** What it sent without holding it: further attempts of requests. */
  overdrawn: number;
}

/**
 * Creates the account of an organisation's allowance, which the holder keeps: it fills at the rate of the
 * allowance and lends to VMs. What is in the account and what VMs hold unsent is never more than the
 * capacity, so that what is sent in any window is at most that and the rate over the window. A VM is
 * counted as holding what it was lent until it reports that it was sent, or until the lease expires.
 *
 * Handles callers that send several times their allowance by way of all VMs, and VMs that fail or are
 * cut off with what they were lent. The account starts empty.
 */
export default function createAccount(getBounds: () => AllowanceBounds) {
  const positions = new Map<string, Position>();
  let limit: AllowanceLimit = { version: -Infinity, perSecond: 0, burst: 0 };
  let level = 0;
  let filledAt = -Infinity;
  /** Until then, what a former holder has lent may be in use. */
  let unknownUntil = -Infinity;
  let unknownVmCount = 0;
  /** Amount that was refused and is expected to return; it decreases at the rate. */
  let expected = 0;

  /** Sets the limit, unless it is of an older manifest. */
  function setLimit(now: number, newLimit: AllowanceLimit): void {
    if (newLimit.version < limit.version) {
      return;
    }
    if (limit.version > -Infinity) {
      fill(now);
    }
    limit = newLimit;
    fill(now);
  }

  /** Starts over with an empty account: `vmCount` VMs may hold what a former holder has lent them. */
  function takeOver(now: number, vmCount: number): void {
    level = 0;
    filledAt = now;
    expected = 0;
    unknownVmCount = vmCount;
    unknownUntil = now + LEASE_MS;
  }

  function getLent(now: number): number {
    let lent = 0;
    positions.forEach(({ unspent, granted, expiresAt }, vm) => {
      if (now < expiresAt) {
        lent += unspent + granted;
      } else {
        positions.delete(vm);
      }
    });
    return lent;
  }

  function getCapacity(now: number): number {
    const { capacity, takeover, vmShare } = getCapacities(limit, getBounds());
    const unknown = now < unknownUntil ? Math.min(capacity, unknownVmCount * vmShare) : 0;
    return Math.min(capacity, capacity + takeover - unknown);
  }

  function fill(now: number): void {
    const added = (Math.max(0, now - filledAt) * limit.perSecond) / MS_PER_SECOND;
    filledAt = Math.max(filledAt, now);
    expected = Math.max(0, expected - added);
    level = Math.min(level + added, Math.max(0, getCapacity(now) - getLent(now)));
  }

  /** Lends to a VM; returns undefined if the request is late. */
  function lend(now: number, vm: string, wanted: Wanted) {
    const position = positions.get(vm);
    if (position && wanted.id <= position.newestId) {
      return undefined;
    }
    fill(now);
    positions.set(vm, {
      newestId: wanted.id,
      unspent: wanted.unspent,
      granted: 0,
      expiresAt: now + LEASE_MS,
    });
    level += getReturned(now, position, wanted) - wanted.overdrawn;
    fill(now);
    const { vmShare } = getCapacities(limit, getBounds());
    const room = Math.min(level, vmShare - wanted.unspent);
    let amount = 0;
    let grantedCount = 0;
    while (grantedCount < wanted.amounts.length && amount + wanted.amounts[grantedCount] <= room) {
      amount += wanted.amounts[grantedCount];
      grantedCount += 1;
    }
    const refused = wanted.amounts.slice(grantedCount);
    const state = { level, lent: getLent(now), capacity: getCapacity(now) };
    const retryAfterMs = refused.map((refusedAmount) => {
      const missing = Math.max(0, expected + refusedAmount - (level - amount));
      const maxExpected = (limit.perSecond * MAX_RETRY_AFTER_MS) / MS_PER_SECOND;
      expected = Math.min(maxExpected, expected + refusedAmount);
      return Math.min(
        MAX_RETRY_AFTER_MS,
        Math.ceil((missing * MS_PER_SECOND) / Math.max(limit.perSecond, Number.MIN_VALUE)),
      );
    });
    if (refused.length === 0) {
      const spare = level - getCapacity(now) * MIN_LEVEL_PART_AHEAD;
      amount += Math.max(0, Math.min(wanted.ahead, Math.min(spare, room) - amount));
    }
    level -= amount;
    Object.assign(positions.get(vm)!, { granted: amount });
    return { amount, grantedCount, retryAfterMs, ...state };
  }

  /**
   * Returns what a VM has returned, and what it was lent in a reply that it did not receive: it ignores
   * the reply to an earlier request. Only what is still counted as lent can be returned.
   */
  function getReturned(now: number, position: Position | undefined, wanted: Wanted): number {
    if (!position || now >= position.expiresAt) {
      return 0;
    }
    const lost = wanted.acknowledged < position.newestId ? position.granted : 0;
    const unaccounted = position.unspent + position.granted - wanted.unspent;
    return Math.max(0, Math.min(wanted.returned + lost, unaccounted));
  }

  return { setLimit, takeOver, lend };
}
