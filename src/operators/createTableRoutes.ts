import { Hono } from 'hono';
import type { Context } from 'hono';
import { match } from 'ts-pattern';
import { z } from 'zod';
import type Log from '../events/Log';
import type Client from '../requests/Client';
import type EntryContext from '../requests/EntryContext';
import getRefusal from '../requests/getRefusal';
import type AdapterRow from '../table/AdapterRow';
import type Row from '../table/Row';
import type Table from '../table/Table';
import type TableController from '../table/TableController';
import type TableEdit from '../table/TableEdit';
import type TableError from '../table/TableError';
import TableKind from '../table/TableKind';
import tryParseRowValue from '../table/tryParseRowValue';

const NAME_PATTERN = /^[\w.-]{1,128}$/;
const MAX_PAGE_ROWS = 1000;
const MAX_HISTORY_ROWS = 20;
const ROWS_PER_TRANSACTION = 60;
const OUTAGE_RETRY_MS = 5000;

const Bulk = z.strictObject({
  rows: z
    .array(
      z.strictObject({
        name: z.string().regex(NAME_PATTERN),
        value: z.unknown(),
        ifRevision: z.number().int().min(0).optional(),
      }),
    )
    .max(10_000),
});

interface Failure {
  name: string;
  code: string;
  detail?: unknown;
}

/** The operators' interface to the table: single rows by compare-and-swap, and in bulk. */
export default function createTableRoutes(parts: {
  table: Table;
  controller: TableController;
  log: Log;
}) {
  const { table, controller, log } = parts;
  const routes = new Hono<EntryContext>();

  TableKind.forEach((kind) => {
    routes.get(`/${kind}`, (context) => list(context, kind));
    routes.patch(`/${kind}`, (context) => editInBulk(context, kind));
    routes.get(`/${kind}/:name`, (context) => get(context, kind));
    routes.get(`/${kind}/:name/history`, (context) => getHistory(context, kind));
    routes.put(`/${kind}/:name`, (context) => put(context, kind));
    routes.delete(`/${kind}/:name`, (context) => remove(context, kind));
  });

  function list(context: Context<EntryContext>, kind: TableKind): Response {
    const limit = Number(context.req.query('limit') ?? MAX_PAGE_ROWS);
    if (!Number.isInteger(limit) || limit < 1 || limit > MAX_PAGE_ROWS) {
      return getRefusal('badRequest', 'no', 0, `limit: 1 to ${MAX_PAGE_ROWS}`);
    }
    const { prefix = '', after = '' } = context.req.query();
    const rows = table.getRows(kind, prefix, after, limit);
    const visible = rows.filter((row) => canSee(context.get('client'), row));
    const next = rows.length === limit ? rows.at(-1)!.name : undefined;
    return Response.json({ rows: visible.map(getView), next, revision: table.getRevision() });
  }

  function get(context: Context<EntryContext>, kind: TableKind): Response {
    const row = table.tryGetRow(kind, context.req.param('name')!);
    if (!row?.value || !canSee(context.get('client'), row)) {
      return getRefusal('rowMissing');
    }
    return Response.json(getView(row), { headers: { etag: getTag(row) } });
  }

  async function getHistory(context: Context<EntryContext>, kind: TableKind): Promise<Response> {
    const rows = await controller.getHistory(kind, context.req.param('name')!, MAX_HISTORY_ROWS);
    const visible = rows.filter((row) => canSee(context.get('client'), row));
    return Response.json({ rows: visible.map(getView) });
  }

  async function put(context: Context<EntryContext>, kind: TableKind): Promise<Response> {
    const name = context.req.param('name')!;
    const json = tryParse(context.get('text'));
    if (json === undefined) {
      return getRefusal('badJson');
    }
    const parsed = tryParseRowValue(kind, json);
    if (!parsed.ok || !NAME_PATTERN.test(name)) {
      return getRefusal('rowInvalid', 'no', 0, parsed.ok ? 'name' : parsed.error);
    }
    return editOne(context, { kind, name, value: parsed.value });
  }

  async function remove(context: Context<EntryContext>, kind: TableKind): Promise<Response> {
    const name = context.req.param('name')!;
    if (!table.tryGetRow(kind, name)?.value) {
      return getRefusal('rowMissing');
    }
    return editOne(context, { kind, name, value: undefined });
  }

  async function editOne(
    context: Context<EntryContext>,
    wanted: Omit<TableEdit, 'ifRevision'>,
  ): Promise<Response> {
    const present = table.tryGetRow(wanted.kind, wanted.name);
    const tag = context.req.header('if-match');
    const forbidden = getForbidden(context.get('client'), wanted, present);
    if (forbidden) {
      return getRefusal(forbidden);
    }
    if (tag === undefined && present?.value) {
      return getRefusal('ifMatchMissing', 'no', 0, getView(present));
    }
    const ifRevision = tag === undefined ? (present?.revision ?? 0) : Number(tag.replace(/"/g, ''));
    const outcome = await controller.edit([{ ...wanted, ifRevision }]);
    if (outcome.ok) {
      const [row] = outcome.value;
      log('editAccepted', { kind: row.kind, row: row.name, revision: row.revision });
      return Response.json(getView(row), { headers: { etag: getTag(row) } });
    }
    log('editRefused', { kind: wanted.kind, row: wanted.name, reason: outcome.error.kind });
    return getErrorResponse(outcome.error, tag === undefined);
  }

  /** Accepts rows in transactions of a few dozen; answers a list of those that did not go in. */
  async function editInBulk(context: Context<EntryContext>, kind: TableKind): Promise<Response> {
    const json = tryParse(context.get('text'));
    const bulk = json === undefined ? undefined : Bulk.safeParse(json);
    if (!bulk?.success) {
      return bulk
        ? getRefusal('badRequest', 'no', 0, bulk.error.issues[0].message)
        : getRefusal('badJson');
    }
    const failed: Failure[] = [];
    const edits: TableEdit[] = [];
    const seen = new Set<string>();
    bulk.data.rows.forEach(({ name, value, ifRevision }) => {
      const parsed =
        value === null ? ({ ok: true, value: undefined } as const) : tryParseRowValue(kind, value);
      const present = table.tryGetRow(kind, name);
      const wanted = { kind, name, value: parsed.ok ? parsed.value : undefined };
      const forbidden = getForbidden(context.get('client'), wanted, present);
      if (!parsed.ok) {
        failed.push({ name, code: 'row_invalid', detail: parsed.error });
      } else if (forbidden) {
        failed.push({ name, code: forbidden === 'wrongTeam' ? 'wrong_team' : 'wrong_role' });
      } else if (seen.has(name)) {
        failed.push({ name, code: 'row_repeated' });
      } else {
        seen.add(name);
        edits.push({ ...wanted, ifRevision: ifRevision ?? present?.revision ?? 0 });
      }
    });
    let accepted = 0;
    let revision = 0;
    for (let start = 0; start < edits.length; start += ROWS_PER_TRANSACTION) {
      const part = edits.slice(start, start + ROWS_PER_TRANSACTION);
      const rows = await editPart(part, failed);
      accepted += rows.length;
      revision = Math.max(revision, ...rows.map((row) => row.revision));
    }
    log('editAccepted', { kind, rows: accepted, revision });
    const status = failed.length === 0 ? 200 : 207;
    return Response.json({ accepted, failed, revision }, { status });
  }

  /** A conflict of one row must not keep out the others: then they go in one by one. */
  async function editPart(part: TableEdit[], failed: Failure[]): Promise<Row[]> {
    const outcome = await controller.edit(part);
    if (outcome.ok) {
      return outcome.value;
    }
    if (outcome.error.kind !== 'conflict' || part.length === 1) {
      const code = match(outcome.error.kind)
        .with('conflict', () => 'row_conflict')
        .with('unavailable', () => 'platform_unavailable')
        .with('unknown', () => 'edit_unknown')
        .exhaustive();
      part.forEach(({ name }) => failed.push({ name, code }));
      return [];
    }
    const rows: Row[] = [];

    for (const edit of part) {
      rows.push(...(await editPart([edit], failed)));
    }
    return rows;
  }

  return routes;
}

function getForbidden(
  client: Client,
  wanted: Omit<TableEdit, 'ifRevision'>,
  present: Row | undefined,
): 'wrongRole' | 'wrongTeam' | undefined {
  if (client.kind !== 'operator' || client.role !== 'editor') {
    return 'wrongRole';
  }
  if (client.team === undefined) {
    return undefined;
  }
  const isOwn = (value: Row['value']) =>
    value === undefined || (value as AdapterRow).team === client.team;
  const isAllowed = wanted.kind === 'adapters' && isOwn(wanted.value) && isOwn(present?.value);
  return isAllowed ? undefined : 'wrongTeam';
}

function canSee(client: Client, row: Row): boolean {
  if (client.kind !== 'operator') {
    return false;
  }
  return (
    client.team === undefined ||
    (row.kind === 'adapters' && (row.value as AdapterRow | undefined)?.team === client.team)
  );
}

function getView(row: Row) {
  return { name: row.name, revision: row.revision, deleted: !row.value, value: row.value };
}

function getTag(row: Row): string {
  return `"${row.revision}"`;
}

function getErrorResponse(error: TableError, isCreation: boolean): Response {
  return match(error)
    .with({ kind: 'conflict' }, ({ current }) =>
      getRefusal(
        isCreation && current?.value ? 'ifMatchMissing' : 'rowConflict',
        'no',
        0,
        current && getView(current),
      ),
    )
    .with({ kind: 'unavailable' }, () => getRefusal('platformUnavailable', 'no', OUTAGE_RETRY_MS))
    .with({ kind: 'unknown' }, () => getRefusal('editUnknown', 'unknown', OUTAGE_RETRY_MS))
    .exhaustive();
}

function tryParse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
