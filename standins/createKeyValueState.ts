import getPrefixEnd from '../src/keyValue/getPrefixEnd';
import type KeyValueEntry from '../src/keyValue/KeyValueEntry';
import type KeyValueTransaction from '../src/keyValue/KeyValueTransaction';

interface Lease {
  ttlMs: number;
  expiresAt: number;
  keys: Set<string>;
}

interface Watcher {
  prefix: string;
  notify(entries: KeyValueEntry[], revision: number): void;
}

/** Creates the in-memory state of a key-value service: revisions, history, leases and watches. */
export default function createKeyValueState() {
  const history = new Map<string, (KeyValueEntry | { key: string; deletedAt: number })[]>();
  const current = new Map<string, KeyValueEntry>();
  const leases = new Map<string, Lease>();
  const watchers = new Set<Watcher>();
  let revision = 1;
  let nextLease = 1;

  function range(request: {
    key: string;
    rangeEnd?: string;
    limit?: number;
    minModRevision?: number;
    atRevision?: number;
  }) {
    const { key, rangeEnd } = request;
    const keys =
      rangeEnd === undefined
        ? [key]
        : [...current.keys()].filter((name) => name >= key && name < rangeEnd).sort();
    const found = keys
      .map((name) => getAt(name, request.atRevision))
      .filter((entry) => entry !== undefined)
      .filter((entry) => entry.modRevision >= (request.minModRevision ?? 0));
    const limit = request.limit ?? Infinity;
    return { revision, more: found.length > limit, entries: found.slice(0, limit) };
  }

  function getAt(key: string, atRevision: number | undefined): KeyValueEntry | undefined {
    if (atRevision === undefined) {
      return current.get(key);
    }
    const past = (history.get(key) ?? []).filter(
      (entry) => ('deletedAt' in entry ? entry.deletedAt : entry.modRevision) <= atRevision,
    );
    const last = past.at(-1);
    return last && !('deletedAt' in last) ? last : undefined;
  }

  function areConditionsMet(transaction: KeyValueTransaction): boolean {
    return transaction.compare.every(
      ({ key, modRevision }) => (current.get(key)?.modRevision ?? 0) === modRevision,
    );
  }

  function applyWrites(transaction: KeyValueTransaction, newRevision: number): KeyValueEntry[] {
    return transaction.writes.flatMap((write) => {
      if (write.kind === 'delete') {
        remove(write.key, newRevision);
        return [];
      }
      const createRevision = current.get(write.key)?.createRevision ?? newRevision;
      const entry = {
        key: write.key,
        value: write.value,
        createRevision,
        modRevision: newRevision,
      };
      current.set(write.key, entry);
      history.set(write.key, [...(history.get(write.key) ?? []), entry]);
      leases.forEach((lease) => lease.keys.delete(write.key));
      if (write.lease !== undefined) {
        leases.get(write.lease)?.keys.add(write.key);
      }
      return [entry];
    });
  }

  function remove(key: string, newRevision: number): void {
    if (current.delete(key)) {
      history.get(key)?.push({ key, deletedAt: newRevision });
    }
  }

  /** Applies all transactions in one call; their writes share one revision. */
  function transactAll(transactions: KeyValueTransaction[]) {
    const newRevision = revision + 1;
    const puts: KeyValueEntry[] = [];
    const results = transactions.map((transaction) => {
      const succeeded = areConditionsMet(transaction);
      if (succeeded) {
        puts.push(...applyWrites(transaction, newRevision));
        revision = transaction.writes.length > 0 ? newRevision : revision;
      }
      const read = succeeded
        ? []
        : transaction.readOnFailure.flatMap((key) => current.get(key) ?? []);
      return { succeeded, revision, read };
    });
    notify(puts);
    return { revision, answers: results.map((result) => ({ ...result, revision })) };
  }

  function notify(entries: KeyValueEntry[]): void {
    if (entries.length === 0) {
      return;
    }
    watchers.forEach((watcher) => {
      const matching = entries.filter(({ key }) => key.startsWith(watcher.prefix));
      if (matching.length > 0) {
        watcher.notify(matching, revision);
      }
    });
  }

  function grantLease(now: number, ttlSeconds: number): string {
    const id = String(nextLease);
    nextLease += 1;
    const ttlMs = ttlSeconds * 1000;
    leases.set(id, { ttlMs, expiresAt: now + ttlMs, keys: new Set() });
    return id;
  }

  function keepLeaseAlive(now: number, id: string): number {
    expire(now);
    const lease = leases.get(id);
    if (!lease) {
      return 0;
    }
    lease.expiresAt = now + lease.ttlMs;
    return lease.ttlMs / 1000;
  }

  function revokeLease(id: string): void {
    const lease = leases.get(id);
    if (lease) {
      leases.delete(id);
      revision += 1;
      lease.keys.forEach((key) => remove(key, revision));
    }
  }

  function expire(now: number): void {
    leases.forEach((lease, id) => {
      if (lease.expiresAt <= now) {
        revokeLease(id);
      }
    });
  }

  /** Restarts the time to live of every lease, as etcd does after an outage of its own. */
  function extendLeases(now: number): void {
    leases.forEach((lease) => {
      Object.assign(lease, { expiresAt: now + lease.ttlMs });
    });
  }

  function watch(
    request: { prefix: string; fromRevision: number },
    onEntries: (entries: KeyValueEntry[], revision: number) => void,
  ): () => void {
    const pastEntries = range({
      key: request.prefix,
      rangeEnd: getPrefixEnd(request.prefix),
      minModRevision: request.fromRevision,
    }).entries;
    if (pastEntries.length > 0) {
      onEntries(pastEntries, revision);
    }
    const watcher = { prefix: request.prefix, notify: onEntries };
    watchers.add(watcher);
    return () => watchers.delete(watcher);
  }

  return {
    range,
    transactAll,
    grantLease,
    keepLeaseAlive,
    revokeLease,
    expire,
    extendLeases,
    watch,
    getRevision: () => revision,
  };
}
