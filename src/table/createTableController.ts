import { randomUUID } from 'node:crypto';
import type Member from '../members/Member';
import type Message from '../mesh/Message';
import type KeyValue from '../keyValue/KeyValue';
import type KeyValueEntry from '../keyValue/KeyValueEntry';
import type KeyValueTransaction from '../keyValue/KeyValueTransaction';
import getPrefixEnd from '../keyValue/getPrefixEnd';
import runPeriodically from '../shared/runPeriodically';
import type Result from '../shared/Result';
import type Clock from '../shared/Clock';
import type Row from './Row';
import type Table from './Table';
import type TableEdit from './TableEdit';
import type TableError from './TableError';
import TableKind from './TableKind';

const TABLE_PREFIX = '/baobablink/table/';
const TABLE_HEAD_KEY = '/baobablink/table-head';
const VERIFY_PAUSE_MS = 700;
const WATCH_RETRY_MS = 500;
const ROWS_PER_PAGE = 1000;
const ROWS_PER_MESSAGE = 500;
const ROWS_REQUEST_INTERVAL_MS = 400;
const CONFIRMATION_VALID_MS = 4000;
const EDIT_CHECK_ATTEMPTS = 4;
const EDIT_CHECK_PAUSE_MS = 150;
const RATE_LIMIT_ATTEMPTS = 6;
const RATE_LIMIT_PAUSE_MS = 250;

interface TableControllerHost extends Clock {
  keyValue: KeyValue;
  send(to: string, message: Message): boolean;
  getLivePeers(now: number): string[];
  hasMajority(now: number): boolean;
  onApplied(row: Row): void;
}

/**
 * Keeps a replica of the table up to date with the key-value service. A watch delivers changes, and
 * the revision of the table's head record is read periodically, because a watch can stop delivering
 * changes without an error. Rows are also exchanged between VMs, so that replicas stay up to date
 * during an outage of the key-value service.
 */
export default function createTableController(host: TableControllerHost, table: Table) {
  /** Revision of the newest row received, which may be ahead of the table's revision. */
  let newestRowRevision = 0;
  /** Whether the replica has been complete at some revision. */
  let loaded = false;
  /** Latest time at which the replica is known to have matched the key-value service. */
  let confirmedAt = -Infinity;
  let stopWatch = () => {};
  let stopVerifying = () => {};
  let stopped = false;
  /**
   * Time of the last request for rows, by the address of the peer. Until the first request, the
   * time at which the peer's heartbeat first reported newer rows.
   */
  const rowsRequestedAt = new Map<string, number>();

  function start(): void {
    stopVerifying = runPeriodically(host, VERIFY_PAUSE_MS, verifyRevision);
    startWatch();
  }

  /** Watches the rows after the table's revision, once the replica has been loaded. */
  function startWatch(): void {
    if (stopped) {
      return;
    }
    if (!loaded) {
      host.setTimer(WATCH_RETRY_MS, startWatch);
      return;
    }
    stopWatch = host.keyValue.watch(
      { prefix: TABLE_PREFIX, fromRevision: table.getRevision() + 1 },
      (entries) => {
        entries.forEach(applyEntry);
        const lastRevision = Math.max(0, ...entries.map((entry) => entry.modRevision));
        table.confirmRevision(lastRevision);
      },
      () => host.setTimer(WATCH_RETRY_MS, startWatch),
    );
  }

  /** Reads the head record's revision and, if the table is behind it, the rows that are missing. */
  async function verifyRevision(): Promise<void> {
    const sentAt = host.now();
    const head = await host.keyValue.range({ key: TABLE_HEAD_KEY });
    if (!head.ok) {
      return;
    }
    const headRevision = head.value.entries[0]?.modRevision ?? 0;
    if (headRevision > table.getRevision() && !(await readRowsSince(table.getRevision()))) {
      return;
    }
    table.confirmRevision(headRevision);
    loaded = true;
    confirmedAt = Math.max(confirmedAt, sentAt);
  }

  /** Reads and applies the rows after a revision. Returns false if a read fails. */
  async function readRowsSince(revision: number): Promise<boolean> {
    let key = TABLE_PREFIX;
    let more = true;
    while (more) {
      const page = await host.keyValue.range({
        key,
        rangeEnd: getPrefixEnd(TABLE_PREFIX),
        limit: ROWS_PER_PAGE,
        minModRevision: revision + 1,
      });
      if (!page.ok) {
        return false;
      }
      page.value.entries.forEach(applyEntry);
      more = page.value.more && page.value.entries.length > 0;
      // The next page starts at the smallest key after the last one of this page.
      key = more ? `${page.value.entries.at(-1)!.key}\0` : key;
    }
    return true;
  }

  function applyEntry(entry: KeyValueEntry): void {
    const row = tryParseEntry(entry);
    if (row) {
      applyRow(row);
    }
  }

  function applyRow(row: Row): void {
    newestRowRevision = Math.max(newestRowRevision, row.revision);
    if (table.apply(row)) {
      host.onApplied(row);
    }
  }

  /**
   * Requests rows from a peer whose heartbeat reports newer ones. If there are none, the time at
   * which the peer's table was last confirmed also counts for this replica.
   */
  function handleHeartbeat(now: number, peer: Member): void {
    const isBehind = peer.newestRow > newestRowRevision || peer.tableRevision > table.getRevision();
    if (isBehind) {
      // A loaded replica waits for one interval first, so that its watch can deliver the rows.
      const lastRequestedAt = rowsRequestedAt.get(peer.address) ?? (loaded ? now : -Infinity);
      rowsRequestedAt.set(peer.address, lastRequestedAt);
      if (now - lastRequestedAt >= ROWS_REQUEST_INTERVAL_MS) {
        rowsRequestedAt.set(peer.address, now);
        host.send(peer.address, { kind: 'rowsWanted', since: table.getRevision() });
      }
      return;
    }
    rowsRequestedAt.delete(peer.address);
    if (peer.confirmedAgeMs !== undefined && peer.tableRevision <= table.getRevision()) {
      confirmedAt = Math.max(confirmedAt, now - peer.confirmedAgeMs);
      loaded = true;
    }
  }

  /**
   * Applies rows from a peer, or sends a peer the rows that it requests if this replica is loaded.
   */
  function handleRowsMessage(
    from: string,
    message: Extract<Message, { kind: 'rows' | 'rowsWanted' }>,
  ): void {
    if (message.kind === 'rows') {
      message.rows.forEach((row) => applyRow(row as Row));
      if (message.upTo !== undefined) {
        table.confirmRevision(message.upTo);
        loaded = true;
      }
      return;
    }
    const rows: Row[] = [];
    table.forEachRowSince(message.since, (row) => rows.push(row));
    if (!loaded) {
      return;
    }
    // Sends at least one message, since `upTo` is needed even if there are no rows.
    for (let first = 0; first === 0 || first < rows.length; first += ROWS_PER_MESSAGE) {
      const isLast = first + ROWS_PER_MESSAGE >= rows.length;
      host.send(from, {
        kind: 'rows',
        rows: rows.slice(first, first + ROWS_PER_MESSAGE),
        upTo: isLast ? table.getRevision() : undefined,
      });
    }
  }

  /** Applies edits in one transaction: either all are accepted or none. Returns the new rows. */
  async function edit(edits: TableEdit[]): Promise<Result<Row[], TableError>> {
    const editId = randomUUID();
    const result = await transactWithRetry(createTransaction(edits, editId));
    if (result.ok && result.value.succeeded) {
      return { ok: true, value: applyAcceptedEdits(edits, editId, result.value.revision) };
    }
    if (result.ok) {
      result.value.read.forEach(applyEntry);
      return { ok: false, error: getConflictError(edits, result.value.read) };
    }
    if (result.error.kind !== 'unknown') {
      return { ok: false, error: { kind: 'unavailable' } };
    }
    return resolveUnknownEdit(edits, editId);
  }

  /** Runs a transaction, with retries while the key-value service refuses it for its rate limit. */
  async function transactWithRetry(transaction: KeyValueTransaction) {
    let result = await host.keyValue.transact(transaction);
    for (
      let attempt = 1;
      attempt < RATE_LIMIT_ATTEMPTS && !result.ok && result.error.kind === 'rateLimited';
      attempt += 1
    ) {
      await pause(RATE_LIMIT_PAUSE_MS);
      result = await host.keyValue.transact(transaction);
    }
    return result;
  }

  function pause(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      host.setTimer(delayMs, resolve);
    });
  }

  /** Determines after a lost response whether edits took effect, by the edit id in a row. */
  async function resolveUnknownEdit(
    edits: TableEdit[],
    editId: string,
  ): Promise<Result<Row[], TableError>> {
    const key = getRowKey(edits[0].kind, edits[0].name);
    for (let attempt = 0; attempt < EDIT_CHECK_ATTEMPTS; attempt += 1) {
      await pause(EDIT_CHECK_PAUSE_MS);
      const result = await host.keyValue.range({ key });
      if (result.ok) {
        const [entry] = result.value.entries;
        const row = entry && tryParseEntry(entry);
        if (row?.edit === editId) {
          return { ok: true, value: applyAcceptedEdits(edits, editId, row.revision) };
        }
        // A row with another edit id proves nothing: a newer edit may have replaced this one, or
        // this one may still take effect. If no read finds the id, the outcome is unknown.
        result.value.entries.forEach(applyEntry);
      }
    }
    return { ok: false, error: { kind: 'unknown' } };
  }

  /** Applies accepted edits to the replica and sends the new rows to all live peers. */
  function applyAcceptedEdits(edits: TableEdit[], editId: string, revision: number): Row[] {
    const rows = edits.map(({ kind, name, value }) => ({
      kind,
      name,
      value,
      revision,
      edit: editId,
    }));
    rows.forEach(applyRow);
    host.getLivePeers(host.now()).forEach((peer) => host.send(peer, { kind: 'rows', rows }));
    return rows;
  }

  /**
   * Returns up to `limit` revisions of a row, newest first, as far back as the key-value service
   * retains them. A failed read ends the list early.
   */
  async function getHistory(kind: TableKind, name: string, limit: number): Promise<Row[]> {
    const key = getRowKey(kind, name);
    const rows: Row[] = [];
    let atRevision: number | undefined;
    while (rows.length < limit) {
      const result = await host.keyValue.range({ key, atRevision });
      const entry = result.ok ? result.value.entries[0] : undefined;
      const row = entry && tryParseEntry(entry);
      if (!row) {
        break;
      }
      rows.push(row);
      atRevision = row.revision - 1;
    }
    return rows;
  }

  /**
   * Returns whether the replica may be used to serve requests: it is loaded, and either it was
   * confirmed recently or this VM is part of a majority.
   */
  function isTrusted(now: number): boolean {
    return loaded && (now - confirmedAt < CONFIRMATION_VALID_MS || host.hasMajority(now));
  }

  function getHeartbeatFields(now: number) {
    const age = now - confirmedAt;
    return {
      tableRevision: table.getRevision(),
      newestRow: newestRowRevision,
      confirmedAgeMs: age < CONFIRMATION_VALID_MS ? age : undefined,
    };
  }

  function stop(): void {
    stopped = true;
    stopVerifying();
    stopWatch();
  }

  return {
    start,
    stop,
    handleHeartbeat,
    handleRowsMessage,
    edit,
    getHistory,
    isTrusted,
    getHeartbeatFields,
    isLoaded: () => loaded,
  };
}

function getRowKey(kind: TableKind, name: string): string {
  return `${TABLE_PREFIX}${kind}/${name}`;
}

function createTransaction(edits: TableEdit[], editId: string): KeyValueTransaction {
  const keys = edits.map(({ kind, name }) => getRowKey(kind, name));
  return {
    compare: edits.map(({ ifRevision }, index) => ({ key: keys[index], modRevision: ifRevision })),
    writes: [
      ...edits.map(({ value }, index) => ({
        kind: 'put' as const,
        key: keys[index],
        value: JSON.stringify({ edit: editId, value }),
      })),
      { kind: 'put', key: TABLE_HEAD_KEY, value: editId },
    ],
    readOnFailure: keys,
  };
}

/** Returns the row that a record of the key-value service holds, or undefined if it is no row. */
function tryParseEntry(entry: KeyValueEntry): Row | undefined {
  const [kind, name] = entry.key.slice(TABLE_PREFIX.length).split('/');
  if (!TableKind.includes(kind as TableKind) || !name) {
    return undefined;
  }
  const { edit, value } = JSON.parse(entry.value) as Pick<Row, 'edit' | 'value'>;
  return { kind: kind as TableKind, name, revision: entry.modRevision, edit, value };
}

/** Returns the error for the first edit whose expected revision differs from that of its row. */
function getConflictError(edits: TableEdit[], read: KeyValueEntry[]): TableError {
  const rows = read.map(tryParseEntry).filter((row) => row !== undefined);
  const current = edits
    .map((edit) => ({
      edit,
      row: rows.find((row) => row.kind === edit.kind && row.name === edit.name),
    }))
    .find(({ edit, row }) => (row?.revision ?? 0) !== edit.ifRevision);
  return { kind: 'conflict', current: current?.row };
}
