import type Log from '../events/Log';
import type Change from '../keyValue/Change';
import type ChangeFeed from '../keyValue/ChangeFeed';
import type Clock from '../shared/Clock';
import type ChangeBatch from './ChangeBatch';

/** A reader waits this long at the store for a change, so that a silent connection shows soon. */
const FOLLOW_WAIT_MS = 900;
/** Pause between two reads: heartbeats of upstreams come in one answer instead of one each. */
const READER_PAUSE_MS = 250;
const CHECK_PAUSE_MS = 100;
const FAILURE_PAUSE_MS = 200;
/** Without news for this long a VM reads by itself; half of the shortest bound on changes, 2 s. */
const UNCONFIRMED_MS = 1000;
/** Watches may miss changes without an error; a listing finds them. */
const RELIST_AFTER_MS = 5000;
/** Removed keys are remembered so that old news does not bring them back. */
const MAX_REMOVED = 4096;

interface MirrorHost extends Clock {
  feed: ChangeFeed;
  /** Whether this VM reads the store on behalf of the others. */
  isReader(now: number): boolean;
  /** Sends news to the other VMs. */
  broadcast(news: ChangeBatch): void;
  /** Asks other VMs for all that they hold. */
  requestSnapshot(): void;
  onChange(now: number, change: Change): void;
  log: Log;
}

/**
 * Keeps a copy of the key-value service in memory. A few VMs read the service and pass changes
 * on; the others read by themselves when news stays away.
 */
export default function createMirror(host: MirrorHost) {
  const entries = new Map<string, Change>();
  let revision = 0;
  let confirmedAt = -Infinity;
  let listedAt = -Infinity;
  let failedAt = -Infinity;
  let isDown = false;
  let isListWanted = true;
  let isBehind = false;
  let isStopped = false;

  function start(): void {
    run();
  }

  async function run(): Promise<void> {
    while (!isStopped) {
      const pauseMs = await step();

      await new Promise<void>((resolve) => {
        host.setTimer(pauseMs, resolve);
      });
    }
  }

  async function step(): Promise<number> {
    const now = host.now();
    const isReader = host.isReader(now);
    if (isListWanted || (isReader && now - listedAt > RELIST_AFTER_MS)) {
      return (await list()) ? READER_PAUSE_MS : FAILURE_PAUSE_MS;
    }
    if (!isReader && !isBehind && now - confirmedAt < UNCONFIRMED_MS) {
      return CHECK_PAUSE_MS;
    }
    return follow(isReader ? FOLLOW_WAIT_MS : 0);
  }

  async function list(): Promise<boolean> {
    const listed = new Map<string, Change>();
    let after: string | undefined;
    let lowest = Infinity;
    let more = true;
    while (more) {
      const page = await host.feed.list({ prefix: '', after });
      if (!page.ok) {
        noteFailure(page.error.kind);
        if (revision === 0) {
          host.requestSnapshot();
        }
        return false;
      }
      page.value.changes.forEach((change) => listed.set(change.key, change));
      lowest = Math.min(lowest, page.value.revision);
      after = page.value.changes.at(-1)?.key;
      more = page.value.more && after !== undefined;
    }
    const removed = [...entries.values()]
      .filter((entry) => entry.value !== undefined && !listed.has(entry.key))
      .filter((entry) => entry.revision <= lowest)
      .map(({ key }) => ({ key, revision: lowest, value: undefined }));
    listedAt = host.now();
    isListWanted = false;
    take([...listed.values(), ...removed], lowest);
    return true;
  }

  async function follow(waitMs: number): Promise<number> {
    const answer = await host.feed.follow({ prefix: '', afterRevision: revision, waitMs });
    if (!answer.ok) {
      isListWanted = true;
      noteFailure(answer.error.kind);
      return answer.error.kind === 'compacted' ? 0 : FAILURE_PAUSE_MS;
    }
    isBehind = false;
    take(answer.value.changes, answer.value.revision);
    return READER_PAUSE_MS;
  }

  /** Applies what the store said and passes on what was new. */
  function take(changes: Change[], upTo: number): void {
    const now = host.now();
    if (isDown) {
      isDown = false;
      host.log('storeRegained', { revision: upTo });
    }
    confirmedAt = now;
    const fromRevision = revision;
    const fresh = changes.filter((change) => apply(now, change));
    revision = Math.max(revision, upTo);
    if (host.isReader(now)) {
      host.broadcast({ fromRevision, revision, ageMs: 0, changes: fresh });
    }
  }

  function apply(now: number, change: Change): boolean {
    const known = entries.get(change.key);
    if (known && known.revision >= change.revision) {
      return false;
    }
    entries.delete(change.key);
    entries.set(change.key, change);
    if (change.value === undefined) {
      forgetOldest();
    }
    host.onChange(now, change);
    return true;
  }

  function forgetOldest(): void {
    const removed = [...entries.values()].filter((entry) => entry.value === undefined);
    if (removed.length > MAX_REMOVED) {
      entries.delete(removed[0].key);
    }
  }

  /** Takes news from another VM. */
  function applyBatch(news: ChangeBatch): void {
    const now = host.now();
    if (news.revision < revision) {
      return;
    }
    if (news.fromRevision > revision) {
      isBehind = true;
      return;
    }
    news.changes.forEach((change) => apply(now, change));
    revision = news.revision;
    confirmedAt = Math.max(confirmedAt, now - news.ageMs);
    isListWanted = false;
  }

  /** All that is held, for a VM that has just started. */
  function getSnapshot(): ChangeBatch | undefined {
    if (revision === 0) {
      return undefined;
    }
    const ageMs = Math.max(0, host.now() - confirmedAt);
    return { fromRevision: 0, revision, ageMs, changes: [...entries.values()] };
  }

  function noteFailure(reason: string): void {
    failedAt = host.now();
    if (!isDown && reason !== 'compacted') {
      isDown = true;
      host.log('storeLost', {
        reason,
        revision,
        confirmedAgeMs: Math.round(failedAt - confirmedAt),
      });
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
    getSnapshot,
    tryGet,
    getAll: (prefix: string) =>
      [...entries.values()].filter(
        (entry) => entry.value !== undefined && entry.key.startsWith(prefix),
      ),
    getRevision: () => revision,
    getConfirmedAt: () => confirmedAt,
    /** When a call to the service last failed. */
    getFailedAt: () => failedAt,
  };
}
