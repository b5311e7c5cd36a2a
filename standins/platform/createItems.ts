interface Item {
  key: string;
  value: string;
  revision: number;
  createdRevision: number;
  lease: number;
}

/** A change of a key; without an item where it was removed. */
interface Change {
  key: string;
  revision: number;
  item: Item | undefined;
}

interface Write {
  puts: { key: string; value: string; lease: number }[];
  removes: string[];
}

/** State of the store: items under one revision counter, leases, and the history of changes. */
export default function createItems() {
  const items = new Map<string, Item>();
  const leases = new Map<number, { ttlMs: number; expiresAt: number }>();
  let history: Change[] = [];
  let revision = 1;
  let nextLease = 1;
  let forgottenUpTo = 0;
  let waiters: (() => void)[] = [];

  function write({ puts, removes }: Write): number {
    revision += 1;
    puts.forEach(({ key, value, lease }) => {
      const createdRevision = items.get(key)?.createdRevision ?? revision;
      const item = { key, value, revision, createdRevision, lease };
      items.set(key, item);
      history.push({ key, revision, item });
    });
    removes
      .filter((key) => items.delete(key))
      .forEach((key) => history.push({ key, revision, item: undefined }));
    const woken = waiters;
    waiters = [];
    woken.forEach((wake) => wake());
    return revision;
  }

  /** Writes if every key has the revision that is expected of it (0: absent). */
  function writeIf(expected: { key: string; revision: number }[], change: Write) {
    const isMet = expected.every((row) => (items.get(row.key)?.revision ?? 0) === row.revision);
    return isMet ? write(change) : undefined;
  }

  function grant(now: number, ttlMs: number): number {
    const lease = nextLease;
    nextLease += 1;
    leases.set(lease, { ttlMs, expiresAt: now + ttlMs });
    return lease;
  }

  function keep(now: number, id: number): boolean {
    const lease = leases.get(id);
    if (lease) {
      lease.expiresAt = now + lease.ttlMs;
    }
    return lease !== undefined;
  }

  function end(id: number): void {
    if (leases.delete(id)) {
      const bound = [...items.values()].filter((item) => item.lease === id).map(({ key }) => key);
      if (bound.length > 0) {
        write({ puts: [], removes: bound });
      }
    }
  }

  function expire(now: number): void {
    leases.forEach((lease, id) => {
      if (lease.expiresAt <= now) {
        end(id);
      }
    });
  }

  /** Changes after a revision; undefined where they are no longer known. */
  function tryGetChanges(prefix: string, after: number): Change[] | undefined {
    return after < forgottenUpTo
      ? undefined
      : history.filter((change) => change.revision > after && change.key.startsWith(prefix));
  }

  function forgetHistory(): void {
    forgottenUpTo = revision;
    history = [];
  }

  return {
    write,
    writeIf,
    grant,
    keep,
    end,
    expire,
    tryGetChanges,
    forgetHistory,
    hasLease: (id: number) => leases.has(id),
    tryGet: (key: string) => items.get(key),
    list: (prefix: string) =>
      [...items.values()]
        .filter(({ key }) => key.startsWith(prefix))
        .sort((left, right) => (left.key < right.key ? -1 : 1)),
    getRevision: () => revision,
    /** Calls back once at the next change. */
    onChange: (wake: () => void) => {
      waiters.push(wake);
    },
  };
}
