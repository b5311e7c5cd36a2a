import type Log from '../events/Log';
import type Change from '../keyValue/Change';
import getGeneration from '../keyValue/getGeneration';
import type ChangeFeed from '../keyValue/ChangeFeed';
import type Clock from '../shared/Clock';
import type ChangeBatch from './ChangeBatch';
import createRepair from './createRepair';

/** Longest wait of a reader's call for a change; short, to detect a silent connection soon. */
const FOLLOW_WAIT_MS = 900;
/** Pause between two reads, so that one response carries the heartbeats of several upstreams. */
const READER_PAUSE_MS = 250;
const CHECK_PAUSE_MS = 100;
const FAILURE_PAUSE_MS = 200;
/**
 * A VM whose mirror was not confirmed for this long reads the service itself. Half of the shortest
 * bound on the delay of a change, 2 s.
 */
const SELF_READ_AFTER_MS = 1000;
/** Reads of changes may miss some without an error; a periodic listing finds them. */
const RELIST_AFTER_MS = 5000;
/**
 * A repair starts from the revision of this time ago: a read of changes may have missed some, which
 * the next listing of a reader has found since then.
 */
const REPAIR_OVERLAP_MS = RELIST_AFTER_MS + 3000;
/** Removed keys that are kept as tombstones, so that an older batch does not restore them. */
const MAX_TOMBSTONES = 4096;

interface MirrorHost extends Clock {
  feed: ChangeFeed;
  /** Returns whether this VM reads the key-value service on behalf of the others. */
  isReader(now: number): boolean;
  /** Sends a batch of changes to the other VMs. */
  broadcast(batch: ChangeBatch): void;
  /** Requests a snapshot of the mirror from other VMs. */
  requestSnapshot(): void;
  requestChanges: Parameters<typeof createRepair>[0]['requestChanges'];
  /**
   * Returns whether the content of a change is older than what is known of its key, or missing though
   * it was confirmed. Asked only after the service has come back from an older copy.
   */
  isOutdated(change: Change, known: Change): boolean;
  /** `isForgotten`: the key was not removed; the service came back without it. */
  onChange(now: number, change: Change, isForgotten: boolean): void;
  log: Log;
}

/**
 * Creates a mirror, an in-memory copy of the key-value service. A few VMs (readers) read the
 * service and broadcast its changes; the others read it themselves while no batches arrive.
 */
export default function createMirror(host: MirrorHost) {
  const entries = new Map<string, Change>();
  let revision = 0;
  let confirmedAt = -Infinity;
  let listedAt = -Infinity;
  let failedAt = -Infinity;
  let isServiceDown = false;
  let isListingNeeded = true;
  /** Removals up to this revision may be unknown, so that changes before it can't be passed on. */
  let historyStart = 0;
  let restoredAt = -Infinity;
  /** Keys whose content is newer here than in the service since it came back from a copy. */
  const retainedKeys = new Set<string>();
  let isStopped = false;
  const repair = createRepair(host, { overlapMs: REPAIR_OVERLAP_MS });

  function start(): void {
    run();
  }

  async function run(): Promise<void> {
    while (!isStopped) {
      const pauseMs = await runOnce();

      await new Promise<void>((resolve) => {
        host.setTimer(pauseMs, resolve);
      });
    }
  }

  /** Reads from the service if due; returns the pause before the next run, in milliseconds. */
  async function runOnce(): Promise<number> {
    const now = host.now();
    const isReader = host.isReader(now);
    if (isListingNeeded || (isReader && now - listedAt > RELIST_AFTER_MS)) {
      return (await listAll()) ? READER_PAUSE_MS : FAILURE_PAUSE_MS;
    }
    if (!isReader && !repair.isGapOverdue(now) && now - confirmedAt < SELF_READ_AFTER_MS) {
      return CHECK_PAUSE_MS;
    }
    return follow(isReader ? FOLLOW_WAIT_MS : 0);
  }

  /** Lists all keys of the service and applies the result; returns whether it succeeded. */
  async function listAll(): Promise<boolean> {
    const listed = new Map<string, Change>();
    let afterKey: string | undefined;
    let lowestRevision = Infinity;
    let hasMore = true;
    while (hasMore) {
      const page = await host.feed.list({ prefix: '', after: afterKey });
      if (!page.ok) {
        recordFailure(page.error.kind);
        if (revision === 0) {
          host.requestSnapshot();
        }
        return false;
      }
      if (hasOtherGeneration(page.value.revision, lowestRevision)) {
        return false;
      }
      page.value.changes.forEach((change) => listed.set(change.key, change));
      lowestRevision = Math.min(lowestRevision, page.value.revision);
      afterKey = page.value.changes.at(-1)?.key;
      hasMore = page.value.more && afterKey !== undefined;
    }
    const removed = getMissing(new Set(listed.keys()), lowestRevision);
    listedAt = host.now();
    isListingNeeded = false;
    applyChanges([...listed.values(), ...removed], lowestRevision);
    return true;
  }

  /** Returns the removals of all entries whose keys a complete state at a revision lacks. */
  function getMissing(keys: ReadonlySet<string>, atRevision: number): Change[] {
    return [...entries.values()]
      .filter((entry) => entry.value !== undefined && !keys.has(entry.key))
      .filter((entry) => entry.revision <= atRevision)
      .map(({ key }) => ({ key, revision: atRevision, value: undefined }));
  }

  /** Reads the changes after `revision`; returns the pause before the next run, in milliseconds. */
  async function follow(waitMs: number): Promise<number> {
    const result = await host.feed.follow({ prefix: '', afterRevision: revision, waitMs });
    if (!result.ok) {
      isListingNeeded = true;
      recordFailure(result.error.kind);
      return result.error.kind === 'compacted' ? 0 : FAILURE_PAUSE_MS;
    }
    applyChanges(result.value.changes, result.value.revision);
    return READER_PAUSE_MS;
  }

  /** Applies changes read from the service; a reader broadcasts those that were new. */
  function applyChanges(changes: Change[], confirmedRevision: number): void {
    const now = host.now();
    recordCall(undefined);
    confirmedAt = now;
    repair.closeGap(now, confirmedRevision);
    const fromRevision = revision;
    const isRestored = beginGenerationIfNew(now, confirmedRevision);
    const appliedKeys = changes.filter((change) => applyChange(now, change)).map(({ key }) => key);
    revision = Math.max(revision, confirmedRevision);
    recordRevision(now);
    if (!host.isReader(now)) {
      return;
    }
    if (isRestored) {
      host.broadcast(getSnapshot()!);
      return;
    }
    const sentKeys = new Set([...appliedKeys, ...retainedKeys]);
    const sentChanges = [...sentKeys].map((key) => entries.get(key)!);
    host.broadcast({ fromRevision, revision, ageMs: 0, changes: sentChanges });
  }

  /** Returns whether a revision is of another generation than `other`; false if that is infinite. */
  function hasOtherGeneration(candidate: number, other: number): boolean {
    return Number.isFinite(other) && getGeneration(candidate) !== getGeneration(other);
  }

  /** Records that the service has come back from an older copy; returns whether it has. */
  function beginGenerationIfNew(now: number, newRevision: number): boolean {
    if (revision === 0 || getGeneration(newRevision) <= getGeneration(revision)) {
      return false;
    }
    restoredAt = now;
    historyStart = newRevision;
    host.log('storeRestored', { generation: getGeneration(newRevision), revision, newRevision });
    return true;
  }

  /**
   * Applies a change if it is newer than the entry; returns whether it was applied. Of a change with
   * outdated content, only the revision is applied.
   */
  function applyChange(now: number, change: Change): boolean {
    const current = entries.get(change.key);
    if (current && !isNewer(change, current)) {
      return false;
    }
    const isNewGeneration =
      current !== undefined && getGeneration(change.revision) > getGeneration(current.revision);
    const isRetained =
      current?.value !== undefined &&
      (isNewGeneration || (retainedKeys.has(change.key) && change.value !== undefined)) &&
      host.isOutdated(change, current);
    entries.delete(change.key);
    if (isRetained) {
      entries.set(change.key, { ...change, value: current.value });
      retainedKeys.add(change.key);
      return true;
    }
    entries.set(change.key, change);
    retainedKeys.delete(change.key);
    if (change.value === undefined) {
      removeOldestTombstone();
    }
    host.onChange(now, change, isNewGeneration && change.value === undefined);
    return true;
  }

  /** Returns whether a change is newer than an entry; at one revision, newer content counts. */
  function isNewer(change: Change, current: Change): boolean {
    if (current.revision !== change.revision) {
      return change.revision > current.revision;
    }
    return (
      change.value !== undefined &&
      change.value !== current.value &&
      host.isOutdated(current, change)
    );
  }

  function removeOldestTombstone(): void {
    const tombstones = [...entries.values()].filter((entry) => entry.value === undefined);
    if (tombstones.length > MAX_TOMBSTONES) {
      entries.delete(tombstones[0].key);
      historyStart = Math.max(historyStart, tombstones[0].revision);
    }
  }

  /**
   * Applies a batch from another VM. Ignores a batch older than the mirror; after a gap between the
   * mirror and the batch, requests the missing changes from another VM or reads the service.
   */
  function applyBatch(batch: ChangeBatch): void {
    const now = host.now();
    if (batch.revision < revision) {
      return;
    }
    const isOtherGeneration = revision > 0 && hasOtherGeneration(batch.revision, revision);
    if (batch.fromRevision > revision || (isOtherGeneration && !batch.isWhole)) {
      repair.openGap(now, revision, batch.fromRevision);
      return;
    }
    beginGenerationIfNew(now, batch.revision);
    const missing = batch.isWhole
      ? getMissing(new Set(batch.changes.map(({ key }) => key)), batch.revision)
      : [];
    [...batch.changes, ...missing].forEach((change) => applyChange(now, change));
    revision = batch.revision;
    recordRevision(now);
    repair.closeGap(now, revision);
    confirmedAt = Math.max(confirmedAt, now - batch.ageMs);
    isListingNeeded = false;
  }

  function recordRevision(now: number): void {
    if (historyStart === 0) {
      historyStart = revision;
    }
    repair.recordRevision(now, revision);
  }

  /**
   * Returns the changes after a revision, for a VM that has missed some; undefined if there are none
   * or if this mirror does not know all removals since then.
   */
  function tryGetChanges(afterRevision: number): ChangeBatch | undefined {
    if (afterRevision < historyStart || afterRevision >= revision) {
      return undefined;
    }
    const changes = [...entries.values()].filter((entry) => entry.revision > afterRevision);
    const ageMs = Math.max(0, host.now() - confirmedAt);
    return { fromRevision: afterRevision, revision, ageMs, changes };
  }

  /** Returns all entries, for a VM that has just started; undefined if the mirror is empty. */
  function getSnapshot(): ChangeBatch | undefined {
    if (revision === 0) {
      return undefined;
    }
    const ageMs = Math.max(0, host.now() - confirmedAt);
    return { fromRevision: 0, revision, ageMs, changes: [...entries.values()], isWhole: true };
  }

  /** Records the outcome of a call to the service, of any kind; `failure` is why it failed. */
  function recordCall(failure: string | undefined): void {
    if (failure === undefined && isServiceDown) {
      isServiceDown = false;
      host.log('storeRegained', { revision });
    }
    if (failure !== undefined && !isServiceDown) {
      isServiceDown = true;
      const confirmedAgeMs = Math.round(host.now() - confirmedAt);
      host.log('storeLost', { reason: failure, revision, confirmedAgeMs });
    }
  }

  function recordFailure(reason: string): void {
    failedAt = host.now();
    if (reason !== 'compacted') {
      recordCall(reason);
    }
  }

  function tryGet(key: string): Change | undefined {
    const entry = entries.get(key);
    return entry?.value === undefined ? undefined : entry;
  }

  return {
    start,
    stop: () => {
      isStopped = true;
    },
    applyBatch,
    /** Compares the mirror with the revision that another VM has reported. */
    compareRevision: (now: number, reportedRevision: number) =>
      repair.compareRevision(now, revision, reportedRevision),
    recordCall,
    getSnapshot,
    tryGetChanges,
    tryGet,
    getAll: (prefix: string) =>
      [...entries.values()].filter(
        (entry) => entry.value !== undefined && entry.key.startsWith(prefix),
      ),
    getRevision: () => revision,
    /** Returns the generation of the key-value service, which rises as it comes back from a copy. */
    getGeneration: () => getGeneration(revision),
    getConfirmedAt: () => confirmedAt,
    /** Returns whether the service answers this VM's calls. */
    isServiceReachable: () => !isServiceDown,
    /** Returns the time of the last failed call to the service, or of its return from a copy. */
    getFailedAt: () => Math.max(failedAt, restoredAt),
    /** Returns when this VM learned that the service came back from a copy, or -Infinity. */
    getRestoredAt: () => restoredAt,
  };
}
