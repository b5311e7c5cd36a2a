interface Entry {
  key: string;
  value: string;
  revision: number;
  createdRevision: number;
  lease: number;
}

/** Change of a key; `entry` is undefined if the key was removed. */
interface Change {
  key: string;
  revision: number;
  entry: Entry | undefined;
}

interface Write {
  puts: { key: string; value: string; lease: number }[];
  removes: string[];
}

/** Creates a store of entries with one revision counter, leases and a history of changes. */
export default function createKeyValueStore() {
  const entries = new Map<string, Entry>();
  const leases = new Map<number, { ttlMs: number; expiresAt: number }>();
  let history: Change[] = [];
  let revision = 1;
  let nextLease = 1;
  let compactedRevision = 0;
  let waiters: (() => void)[] = [];
  let generation = 1;

  function write({ puts, removes }: Write): number {
    revision += 1;
    puts.forEach(({ key, value, lease }) => {
      const createdRevision = entries.get(key)?.createdRevision ?? revision;
      const entry = { key, value, revision, createdRevision, lease };
      entries.set(key, entry);
      history.push({ key, revision, entry: entry });
    });
    removes
      .filter((key) => entries.delete(key))
      .forEach((key) => history.push({ key, revision, entry: undefined }));
    const notified = waiters;
    waiters = [];
    notified.forEach((wake) => wake());
    return revision;
  }

  /**
   * Applies the change and returns its revision if every key has the expected revision (0: absent);
   * otherwise returns undefined.
   */
  function writeIf(expected: { key: string; revision: number }[], change: Write) {
    const areConditionsMet = expected.every(
      (condition) => (entries.get(condition.key)?.revision ?? 0) === condition.revision,
    );
    return areConditionsMet ? write(change) : undefined;
  }

  function grantLease(now: number, ttlMs: number): number {
    const lease = nextLease;
    nextLease += 1;
    leases.set(lease, { ttlMs, expiresAt: now + ttlMs });
    return lease;
  }

  function renewLease(now: number, id: number): boolean {
    const lease = leases.get(id);
    if (lease) {
      lease.expiresAt = now + lease.ttlMs;
    }
    return lease !== undefined;
  }

  function revokeLease(id: number): void {
    if (leases.delete(id)) {
      const leasedKeys = [...entries.values()]
        .filter((entry) => entry.lease === id)
        .map(({ key }) => key);
      if (leasedKeys.length > 0) {
        write({ puts: [], removes: leasedKeys });
      }
    }
  }

  function expire(now: number): void {
    leases.forEach((lease, id) => {
      if (lease.expiresAt <= now) {
        revokeLease(id);
      }
    });
  }

  /** Returns the changes after a revision, or undefined if the history does not have them. */
  function tryGetChanges(prefix: string, after: number): Change[] | undefined {
    return after < compactedRevision || after > revision
      ? undefined
      : history.filter((change) => change.revision > after && change.key.startsWith(prefix));
  }

  function compactHistory(): void {
    compactedRevision = revision;
    history = [];
  }

  /** Returns a function that brings back the present state, as an older copy does in a drill. */
  function createCopy(): () => void {
    const copy = { entries: [...entries], leases: [...leases], history: [...history], revision };
    return () => {
      entries.clear();
      copy.entries.forEach(([key, entry]) => entries.set(key, entry));
      leases.clear();
      copy.leases.forEach(([id, lease]) => leases.set(id, { ...lease }));
      history = [...copy.history];
      revision = copy.revision;
      nextLease = Math.max(0, ...leases.keys()) + 1;
      generation += 1;
    };
  }

  return {
    createCopy,
    getGeneration: () => generation,
    write,
    writeIf,
    grantLease,
    renewLease,
    revokeLease,
    expire,
    tryGetChanges,
    compactHistory,
    hasLease: (id: number) => leases.has(id),
    tryGet: (key: string) => entries.get(key),
    getEntries: (prefix: string) =>
      [...entries.values()]
        .filter(({ key }) => key.startsWith(prefix))
        .sort((left, right) => (left.key < right.key ? -1 : 1)),
    getRevision: () => revision,
    /** Calls `wake` once, on the next change. */
    onNextChange: (wake: () => void) => {
      waiters.push(wake);
    },
  };
}
