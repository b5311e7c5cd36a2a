/**
 * Work that an organisation may have had beyond its share before its requests come after those of
 * others. A small organisation's share is less than one prompt a second, so that two or three prompts
 * soon after each other are usual: at its usual load, 60 ms made 3 % of its prompts late, 250 ms 1 %.
 */
const TOLERATED_LEAD_MS = 250;
/** Work beyond its share that is held against an organisation, so that a burst is soon forgotten. */
const MAX_LEAD_MS = 2 * TOLERATED_LEAD_MS;
/** An organisation without requests for this long leaves its share to the others; a burst lasts 5 to 11 s. */
const ACTIVE_MS = 15_000;

interface Item {
  organisation?: string;
}

interface Account {
  weight: number;
  /** Work that the organisation has had beyond its share, in milliseconds; at least 0. */
  leadMs: number;
  seenAt: number;
}

/**
 * Creates the order in which organisations are served from one queue: each has a share of the work by
 * its weight, and requests of those that have had more come after the others; among either, the usual
 * order applies. Designed for an organisation that sends several times its usual load, which then
 * waits before the others do. What none of the others needs is left to it.
 */
export default function createFairShares(getWeight: (organisation: string) => number) {
  const accounts = new Map<string, Account>();
  let updatedAt = -Infinity;

  /** Adds the share of the time that has passed; `rate` is the work that is possible in a millisecond. */
  function advance(now: number, rate: number): void {
    // A timer reports the time for which it was set, which can be before that of the last request.
    const elapsedMs = Number.isFinite(updatedAt) ? Math.max(0, now - updatedAt) : 0;
    updatedAt = Math.max(updatedAt, now);
    accounts.forEach(({ seenAt }, name) => now - seenAt > ACTIVE_MS && accounts.delete(name));
    const totalWeight = [...accounts.values()].reduce((sum, { weight }) => sum + weight, 0);
    accounts.forEach((account) => {
      const shareMs = (elapsedMs * rate * account.weight) / totalWeight;
      Object.assign(account, { leadMs: Math.max(0, account.leadMs - shareMs) });
    });
  }

  /** Records that an organisation has a request. */
  function observe(now: number, organisation: string | undefined): void {
    if (organisation !== undefined) {
      const leadMs = accounts.get(organisation)?.leadMs ?? 0;
      accounts.set(organisation, { weight: getWeight(organisation), leadMs, seenAt: now });
    }
  }

  /** Returns the items in the order in which they are served if no others arrive. */
  function sort<T extends Item>(
    items: readonly T[],
    compare: (left: T, right: T) => number,
    getWork: (item: T) => number,
  ): T[] {
    const sorted = [...items].sort(compare);
    const leads = new Map<string, number>();
    const isWithinShare = ({ organisation }: T) =>
      organisation === undefined || getLead(organisation) <= TOLERATED_LEAD_MS;
    const getLead = (organisation: string) =>
      leads.get(organisation) ?? accounts.get(organisation)?.leadMs ?? 0;
    const withinShare: T[] = [];
    const beyondShare: T[] = [];
    sorted.forEach((item) => {
      if (!isWithinShare(item)) {
        beyondShare.push(item);
        return;
      }
      withinShare.push(item);
      if (item.organisation !== undefined) {
        leads.set(item.organisation, getLead(item.organisation) + getWork(item));
      }
    });
    return [...withinShare, ...beyondShare];
  }

  /** Records the work of an item that is served. */
  function record({ organisation }: Item, workMs: number): void {
    const account = organisation === undefined ? undefined : accounts.get(organisation);
    if (account) {
      account.leadMs = Math.min(MAX_LEAD_MS, account.leadMs + workMs);
    }
  }

  return { advance, observe, sort, record };
}
