import { randomUUID } from 'node:crypto';
import type Member from '../members/Member';
import type Message from '../mesh/Message';
import type KeyValue from '../keyValue/KeyValue';
import type KeyValueEntry from '../keyValue/KeyValueEntry';
import type KeyValueTransaction from '../keyValue/KeyValueTransaction';
import getPrefixEnd from '../keyValue/getPrefixEnd';
import createRepeater from '../shared/createRepeater';
import type Result from '../shared/Result';
import type Clock from '../shared/Clock';
import type Row from './Row';
import type Table from './Table';
import type TableEdit from './TableEdit';
import type TableError from './TableError';
import TableKind from './TableKind';

const TABLE_PREFIX = '/baobablink/table/';
const HEAD_KEY = '/baobablink/table-head';
const VERIFY_PAUSE_MS = 700;
const WATCH_RETRY_MS = 500;
const PAGE_ROWS = 1000;
const ROWS_PER_MESSAGE = 500;
const ROWS_WANTED_PAUSE_MS = 400;
const CONFIRMED_FOR_MS = 4000;
const EDIT_CHECK_TRIES = 4;
const EDIT_CHECK_PAUSE_MS = 150;
const RATE_TRIES = 6;
const RATE_PAUSE_MS = 250;

interface TableControllerHost extends Clock {
  keyValue: KeyValue;
  send(to: string, message: Message): boolean;
  getLivePeers(now: number): string[];
  hasMajority(now: number): boolean;
  onApplied(row: Row): void;
}

/**
 * Keeps a replica of the table as the platform has it: follows by watch, verifies by revision on
 * calls of its own (a watch can go silent), and spreads rows between VMs when the platform is out.
 */
export default function createTableController(host: TableControllerHost, table: Table) {
  let newestRow = 0;
  let loaded = false;
  let confirmedAt = -Infinity;
  let stopWatch = () => {};
  let stopVerify = () => {};
  let stopped = false;
  const wantedAt = new Map<string, number>();

  function start(): void {
    stopVerify = createRepeater(host, VERIFY_PAUSE_MS, verify);
    follow();
  }

  function follow(): void {
    if (stopped) {
      return;
    }
    if (!loaded) {
      host.setTimer(WATCH_RETRY_MS, follow);
      return;
    }
    stopWatch = host.keyValue.watch(
      { prefix: TABLE_PREFIX, fromRevision: table.getRevision() + 1 },
      (entries) => {
        entries.forEach(applyEntry);
        const last = Math.max(0, ...entries.map((entry) => entry.modRevision));
        table.confirmRevision(last);
      },
      () => host.setTimer(WATCH_RETRY_MS, follow),
    );
  }

  async function verify(): Promise<void> {
    const sentAt = host.now();
    const head = await host.keyValue.range({ key: HEAD_KEY });
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

  async function readRowsSince(revision: number): Promise<boolean> {
    let key = TABLE_PREFIX;
    let more = true;
    while (more) {
      const page = await host.keyValue.range({
        key,
        rangeEnd: getPrefixEnd(TABLE_PREFIX),
        limit: PAGE_ROWS,
        minModRevision: revision + 1,
      });
      if (!page.ok) {
        return false;
      }
      page.value.entries.forEach(applyEntry);
      more = page.value.more && page.value.entries.length > 0;
      key = more ? `${page.value.entries.at(-1)!.key}\0` : key;
    }
    return true;
  }

  function applyEntry(entry: KeyValueEntry): void {
    const row = tryGetRowOfEntry(entry);
    if (row) {
      applyRow(row);
    }
  }

  function applyRow(row: Row): void {
    newestRow = Math.max(newestRow, row.revision);
    if (table.apply(row)) {
      host.onApplied(row);
    }
  }

  /** Learns from a peer's heartbeat that rows are missing here, or that the table is current. */
  function handleHeartbeat(now: number, peer: Member): void {
    const isBehind = peer.newestRow > newestRow || peer.tableRevision > table.getRevision();
    if (isBehind) {
      const last = wantedAt.get(peer.address) ?? (loaded ? now : -Infinity);
      wantedAt.set(peer.address, last);
      if (now - last >= ROWS_WANTED_PAUSE_MS) {
        wantedAt.set(peer.address, now);
        host.send(peer.address, { kind: 'rowsWanted', since: table.getRevision() });
      }
      return;
    }
    wantedAt.delete(peer.address);
    if (peer.confirmedAgeMs !== undefined && peer.tableRevision <= table.getRevision()) {
      confirmedAt = Math.max(confirmedAt, now - peer.confirmedAgeMs);
      loaded = true;
    }
  }

  function receive(from: string, message: Extract<Message, { kind: 'rows' | 'rowsWanted' }>): void {
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
    for (let first = 0; first === 0 || first < rows.length; first += ROWS_PER_MESSAGE) {
      const isLast = first + ROWS_PER_MESSAGE >= rows.length;
      host.send(from, {
        kind: 'rows',
        rows: rows.slice(first, first + ROWS_PER_MESSAGE),
        upTo: isLast ? table.getRevision() : undefined,
      });
    }
  }

  /** Makes edits in one transaction: all are accepted or none. */
  async function edit(edits: TableEdit[]): Promise<Result<Row[], TableError>> {
    const id = randomUUID();
    const answer = await transactWithinRate(getTransaction(edits, id));
    if (answer.ok && answer.value.succeeded) {
      return { ok: true, value: takeAccepted(edits, id, answer.value.revision) };
    }
    if (answer.ok) {
      answer.value.read.forEach(applyEntry);
      return { ok: false, error: getConflict(edits, answer.value.read) };
    }
    if (answer.error.kind !== 'unknown') {
      return { ok: false, error: { kind: 'unavailable' } };
    }
    return findOutOwnEdit(edits, id);
  }

  /** Waits and tries again where the service refuses a call for its rate. */
  async function transactWithinRate(transaction: KeyValueTransaction) {
    let answer = await host.keyValue.transact(transaction);
    for (
      let tries = 1;
      tries < RATE_TRIES && !answer.ok && answer.error.kind === 'rateLimited';
      tries += 1
    ) {
      await pause(RATE_PAUSE_MS);
      answer = await host.keyValue.transact(transaction);
    }
    return answer;
  }

  function pause(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      host.setTimer(delayMs, resolve);
    });
  }

  /** After a lost answer: the row tells by the edit's identifier whether it took effect. */
  async function findOutOwnEdit(
    edits: TableEdit[],
    id: string,
  ): Promise<Result<Row[], TableError>> {
    const key = getRowKey(edits[0].kind, edits[0].name);
    for (let tries = 0; tries < EDIT_CHECK_TRIES; tries += 1) {
      await pause(EDIT_CHECK_PAUSE_MS);
      const answer = await host.keyValue.range({ key });
      if (answer.ok) {
        const [entry] = answer.value.entries;
        const row = entry && tryGetRowOfEntry(entry);
        if (row?.edit === id) {
          return { ok: true, value: takeAccepted(edits, id, row.revision) };
        }
        // A newer edit may have followed ours, or ours may still arrive: only the same revision
        // as before is left open, and the caller is told that the outcome is unknown.
        answer.value.entries.forEach(applyEntry);
      }
    }
    return { ok: false, error: { kind: 'unknown' } };
  }

  function takeAccepted(edits: TableEdit[], id: string, revision: number): Row[] {
    const rows = edits.map(({ kind, name, value }) => ({ kind, name, value, revision, edit: id }));
    rows.forEach(applyRow);
    host.getLivePeers(host.now()).forEach((peer) => host.send(peer, { kind: 'rows', rows }));
    return rows;
  }

  /** Reads earlier states of a row from the platform, newest first, as far as it keeps them. */
  async function getHistory(kind: TableKind, name: string, limit: number): Promise<Row[]> {
    const key = getRowKey(kind, name);
    const rows: Row[] = [];
    let atRevision: number | undefined;
    while (rows.length < limit) {
      const answer = await host.keyValue.range({ key, atRevision });
      const entry = answer.ok ? answer.value.entries[0] : undefined;
      const row = entry && tryGetRowOfEntry(entry);
      if (!row) {
        break;
      }
      rows.push(row);
      atRevision = row.revision - 1;
    }
    return rows;
  }

  /** Whether requests may be answered by the rows that are here. */
  function isTrusted(now: number): boolean {
    return loaded && (now - confirmedAt < CONFIRMED_FOR_MS || host.hasMajority(now));
  }

  function getHeartbeatFields(now: number) {
    const age = now - confirmedAt;
    return {
      tableRevision: table.getRevision(),
      newestRow,
      confirmedAgeMs: age < CONFIRMED_FOR_MS ? age : undefined,
    };
  }

  function stop(): void {
    stopped = true;
    stopVerify();
    stopWatch();
  }

  return {
    start,
    stop,
    handleHeartbeat,
    receive,
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

function getTransaction(edits: TableEdit[], id: string): KeyValueTransaction {
  const keys = edits.map(({ kind, name }) => getRowKey(kind, name));
  return {
    compare: edits.map(({ ifRevision }, index) => ({ key: keys[index], modRevision: ifRevision })),
    writes: [
      ...edits.map(({ value }, index) => ({
        kind: 'put' as const,
        key: keys[index],
        value: JSON.stringify({ edit: id, value }),
      })),
      { kind: 'put', key: HEAD_KEY, value: id },
    ],
    readOnFailure: keys,
  };
}

function tryGetRowOfEntry(entry: KeyValueEntry): Row | undefined {
  const [kind, name] = entry.key.slice(TABLE_PREFIX.length).split('/');
  if (!TableKind.includes(kind as TableKind) || !name) {
    return undefined;
  }
  const { edit, value } = JSON.parse(entry.value) as Pick<Row, 'edit' | 'value'>;
  return { kind: kind as TableKind, name, revision: entry.modRevision, edit, value };
}

function getConflict(edits: TableEdit[], read: KeyValueEntry[]): TableError {
  const rows = read.map(tryGetRowOfEntry).filter((row) => row !== undefined);
  const current = edits
    .map((wanted) => ({
      wanted,
      row: rows.find((row) => row.kind === wanted.kind && row.name === wanted.name),
    }))
    .find(({ wanted, row }) => (row?.revision ?? 0) !== wanted.ifRevision);
  return { kind: 'conflict', current: current?.row };
}
