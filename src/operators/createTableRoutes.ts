import { Hono } from 'hono';
import type { Context } from 'hono';
import { match } from 'ts-pattern';
import { z } from 'zod';
import type Log from '../events/Log';
import type Client from '../requests/Client';
import type EntryContext from '../requests/EntryContext';
import createRefusalResponse from '../requests/createRefusalResponse';
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
const OUTAGE_RETRY_AFTER_MS = 5000;

const BulkEdit = z.strictObject({
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

interface FailedRow {
  name: string;
  code: string;
  detail?: unknown;
}

/** Creates the operators' routes to the table: single rows by compare-and-swap, or many rows. */
export default function createTableRoutes(parts: {
  table: Table;
  controller: TableController;
  log: Log;
}) {
  const { table, controller, log } = parts;
  const routes = new Hono<EntryContext>();

  TableKind.forEach((kind) => {
    routes.get(`/${kind}`, (context) => listRows(context, kind));
    routes.patch(`/${kind}`, (context) => editRows(context, kind));
    routes.get(`/${kind}/:name`, (context) => getRow(context, kind));
    routes.get(`/${kind}/:name/history`, (context) => getHistory(context, kind));
    routes.put(`/${kind}/:name`, (context) => putRow(context, kind));
    routes.delete(`/${kind}/:name`, (context) => deleteRow(context, kind));
  });

  function listRows(context: Context<EntryContext>, kind: TableKind): Response {
    const limit = Number(context.req.query('limit') ?? MAX_PAGE_ROWS);
    if (!Number.isInteger(limit) || limit < 1 || limit > MAX_PAGE_ROWS) {
      return createRefusalResponse('badRequest', 'no', 0, `limit: 1 to ${MAX_PAGE_ROWS}`);
    }
    const { prefix = '', after = '' } = context.req.query();
    const rows = table.getRows(kind, prefix, after, limit);
    const visible = rows.filter((row) => canRead(context.get('client'), row));
    const next = rows.length === limit ? rows.at(-1)!.name : undefined;
    return Response.json({ rows: visible.map(getRowBody), next, revision: table.getRevision() });
  }

  function getRow(context: Context<EntryContext>, kind: TableKind): Response {
    const row = table.tryGetRow(kind, context.req.param('name')!);
    if (!row?.value || !canRead(context.get('client'), row)) {
      return createRefusalResponse('rowMissing');
    }
    return Response.json(getRowBody(row), { headers: { etag: getETag(row) } });
  }

  async function getHistory(context: Context<EntryContext>, kind: TableKind): Promise<Response> {
    const rows = await controller.getHistory(kind, context.req.param('name')!, MAX_HISTORY_ROWS);
    const visible = rows.filter((row) => canRead(context.get('client'), row));
    return Response.json({ rows: visible.map(getRowBody) });
  }

  async function putRow(context: Context<EntryContext>, kind: TableKind): Promise<Response> {
    const name = context.req.param('name')!;
    const json = tryParseJson(context.get('text'));
    if (json === undefined) {
      return createRefusalResponse('badJson');
    }
    const parsed = tryParseRowValue(kind, json);
    if (!parsed.ok || !NAME_PATTERN.test(name)) {
      return createRefusalResponse('rowInvalid', 'no', 0, parsed.ok ? 'name' : parsed.error);
    }
    return editRow(context, { kind, name, value: parsed.value });
  }

  async function deleteRow(context: Context<EntryContext>, kind: TableKind): Promise<Response> {
    const name = context.req.param('name')!;
    if (!table.tryGetRow(kind, name)?.value) {
      return createRefusalResponse('rowMissing');
    }
    return editRow(context, { kind, name, value: undefined });
  }

  async function editRow(
    context: Context<EntryContext>,
    edit: Omit<TableEdit, 'ifRevision'>,
  ): Promise<Response> {
    const currentRow = table.tryGetRow(edit.kind, edit.name);
    const ifMatch = context.req.header('if-match');
    const refusal = tryGetEditRefusal(context.get('client'), edit, currentRow);
    if (refusal) {
      return createRefusalResponse(refusal);
    }
    if (ifMatch === undefined && currentRow?.value) {
      return createRefusalResponse('ifMatchMissing', 'no', 0, getRowBody(currentRow));
    }
    const ifRevision =
      ifMatch === undefined ? (currentRow?.revision ?? 0) : Number(ifMatch.replace(/"/g, ''));
    const result = await controller.edit([{ ...edit, ifRevision }]);
    if (result.ok) {
      const [row] = result.value;
      log('editAccepted', { kind: row.kind, row: row.name, revision: row.revision });
      return Response.json(getRowBody(row), { headers: { etag: getETag(row) } });
    }
    log('editRefused', { kind: edit.kind, row: edit.name, reason: result.error.kind });
    return getErrorResponse(result.error, ifMatch === undefined);
  }

  /**
   * Writes many rows in transactions of `ROWS_PER_TRANSACTION`. Returns the number of accepted rows
   * and a list of the others, each with an error code.
   */
  async function editRows(context: Context<EntryContext>, kind: TableKind): Promise<Response> {
    const json = tryParseJson(context.get('text'));
    const bulkEdit = json === undefined ? undefined : BulkEdit.safeParse(json);
    if (!bulkEdit?.success) {
      return bulkEdit
        ? createRefusalResponse('badRequest', 'no', 0, bulkEdit.error.issues[0].message)
        : createRefusalResponse('badJson');
    }
    const failed: FailedRow[] = [];
    const edits: TableEdit[] = [];
    const seenNames = new Set<string>();
    bulkEdit.data.rows.forEach(({ name, value, ifRevision }) => {
      const parsed =
        value === null ? ({ ok: true, value: undefined } as const) : tryParseRowValue(kind, value);
      const currentRow = table.tryGetRow(kind, name);
      const edit = { kind, name, value: parsed.ok ? parsed.value : undefined };
      const refusal = tryGetEditRefusal(context.get('client'), edit, currentRow);
      if (!parsed.ok) {
        failed.push({ name, code: 'row_invalid', detail: parsed.error });
      } else if (refusal) {
        failed.push({ name, code: refusal === 'wrongTeam' ? 'wrong_team' : 'wrong_role' });
      } else if (seenNames.has(name)) {
        failed.push({ name, code: 'row_repeated' });
      } else {
        seenNames.add(name);
        edits.push({ ...edit, ifRevision: ifRevision ?? currentRow?.revision ?? 0 });
      }
    });
    let accepted = 0;
    let revision = 0;
    for (let start = 0; start < edits.length; start += ROWS_PER_TRANSACTION) {
      const batch = edits.slice(start, start + ROWS_PER_TRANSACTION);
      const rows = await editBatch(batch, failed);
      accepted += rows.length;
      revision = Math.max(revision, ...rows.map((row) => row.revision));
    }
    log('editAccepted', { kind, rows: accepted, revision });
    const status = failed.length === 0 ? 200 : 207;
    return Response.json({ accepted, failed, revision }, { status });
  }

  /**
   * Writes a batch in one transaction, or row by row after a conflict, so that one conflicting row
   * does not block the others. Returns the accepted rows and adds the others to `failed`.
   */
  async function editBatch(batch: TableEdit[], failed: FailedRow[]): Promise<Row[]> {
    const result = await controller.edit(batch);
    if (result.ok) {
      return result.value;
    }
    if (result.error.kind !== 'conflict' || batch.length === 1) {
      const code = match(result.error.kind)
        .with('conflict', () => 'row_conflict')
        .with('unavailable', () => 'platform_unavailable')
        .with('unknown', () => 'edit_unknown')
        .exhaustive();
      batch.forEach(({ name }) => failed.push({ name, code }));
      return [];
    }
    const rows: Row[] = [];

    for (const edit of batch) {
      rows.push(...(await editBatch([edit], failed)));
    }
    return rows;
  }

  return routes;
}

/**
 * Returns the refusal for an edit that the client has no permission for, or undefined. An editor of
 * a team may edit only the adapters of that team.
 */
function tryGetEditRefusal(
  client: Client,
  edit: Omit<TableEdit, 'ifRevision'>,
  currentRow: Row | undefined,
): 'wrongRole' | 'wrongTeam' | undefined {
  if (client.kind !== 'operator' || client.role !== 'editor') {
    return 'wrongRole';
  }
  if (client.team === undefined) {
    return undefined;
  }
  const isOwn = (value: Row['value']) =>
    value === undefined || (value as AdapterRow).team === client.team;
  const isAllowed = edit.kind === 'adapters' && isOwn(edit.value) && isOwn(currentRow?.value);
  return isAllowed ? undefined : 'wrongTeam';
}

/** Returns whether a client may read a row: operators of a team read only its adapters. */
function canRead(client: Client, row: Row): boolean {
  if (client.kind !== 'operator') {
    return false;
  }
  return (
    client.team === undefined ||
    (row.kind === 'adapters' && (row.value as AdapterRow | undefined)?.team === client.team)
  );
}

function getRowBody(row: Row) {
  return { name: row.name, revision: row.revision, deleted: !row.value, value: row.value };
}

function getETag(row: Row): string {
  return `"${row.revision}"`;
}

function getErrorResponse(error: TableError, isCreation: boolean): Response {
  return match(error)
    .with({ kind: 'conflict' }, ({ current }) =>
      createRefusalResponse(
        isCreation && current?.value ? 'ifMatchMissing' : 'rowConflict',
        'no',
        0,
        current && getRowBody(current),
      ),
    )
    .with({ kind: 'unavailable' }, () =>
      createRefusalResponse('platformUnavailable', 'no', OUTAGE_RETRY_AFTER_MS),
    )
    .with({ kind: 'unknown' }, () =>
      createRefusalResponse('editUnknown', 'unknown', OUTAGE_RETRY_AFTER_MS),
    )
    .exhaustive();
}

function tryParseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
