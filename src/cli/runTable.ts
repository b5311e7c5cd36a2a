import { readFileSync } from 'node:fs';
import { match } from 'ts-pattern';
import TableKind from '../table/TableKind';
import type AdapterRow from '../table/AdapterRow';
import adapterCsv from './adapterCsv';
import type Client from './Client';
import formatColumns from './formatColumns';
import type Output from './Output';

const ROWS_PER_PAGE = 1000;
const ROWS_PER_IMPORT_CALL = 600;
const USAGE = 'usage: baobablink table list|get|set|delete|import|export|history|inforce …';

interface RowView {
  name: string;
  revision: number;
  deleted: boolean;
  value: Record<string, unknown>;
}

interface TableFlags {
  kind: string;
  prefix: string;
  format: string;
  row?: string;
  ifRevision?: number;
}

/** Runs `baobablink table`. Returns the exit code. */
export default function runTable(
  args: string[],
  flags: TableFlags,
  client: Client,
  output: Output,
): Promise<number> {
  const [action, name, ...rest] = args;
  const tablePath = `/v1/table/${flags.kind}`;
  if (!TableKind.includes(flags.kind as TableKind)) {
    output.printError(`--kind: ${flags.kind} is refused: expected ${TableKind.join(', ')}`);
    return Promise.resolve(2);
  }
  const hasName = name !== undefined;
  return match(action)
    .with('list', () => list())
    .with('export', () => exportRows())
    .with('get', () => (hasName ? get() : reportUsageError()))
    .with('set', () => (hasName ? set() : reportUsageError()))
    .with('delete', () => (hasName ? remove() : reportUsageError()))
    .with('import', () => (hasName ? importRows() : reportUsageError()))
    .with('history', () => (hasName ? getHistory() : reportUsageError()))
    .with('inforce', () => getInForce())
    .otherwise(reportUsageError);

  async function reportUsageError(): Promise<number> {
    output.printError(USAGE);
    return 2;
  }

  async function fetchRows(): Promise<RowView[] | undefined> {
    const rows: RowView[] = [];
    let after: string | undefined = '';
    while (after !== undefined) {
      const query = new URLSearchParams({
        prefix: flags.prefix,
        after,
        limit: String(ROWS_PER_PAGE),
      });
      const response = await client.call('GET', `${tablePath}?${query}`);
      if (!response.ok) {
        output.printError(response.error);
        return undefined;
      }
      const page = response.value.body as { rows: RowView[]; next?: string };
      rows.push(...page.rows);
      after = page.next;
    }
    return rows;
  }

  async function list(): Promise<number> {
    const rows = await fetchRows();
    if (!rows) {
      return 1;
    }
    if (output.json) {
      output.print(JSON.stringify(rows));
      return 0;
    }
    output.print(
      flags.kind === 'adapters'
        ? formatAdapters(rows)
        : formatColumns(
            ['NAME', 'REVISION', 'VALUE'],
            rows.map((row) => [row.name, String(row.revision), JSON.stringify(row.value)]),
          ),
    );
    return 0;
  }

  async function exportRows(): Promise<number> {
    const rows = await fetchRows();
    if (!rows) {
      return 1;
    }
    const isCsv = flags.format === 'csv' && flags.kind === 'adapters';
    output.print(
      isCsv
        ? adapterCsv.format(rows as unknown as { name: string; value: AdapterRow }[]).trimEnd()
        : JSON.stringify(rows.map((row) => ({ name: row.name, value: row.value }))),
    );
    return 0;
  }

  async function get(): Promise<number> {
    return printResponse(await client.call('GET', `${tablePath}/${name}`));
  }

  function printResponse(response: Awaited<ReturnType<Client['call']>>): number {
    if (!response.ok) {
      output.printError(response.error);
      return 1;
    }
    output.print(JSON.stringify(response.value.body, undefined, output.json ? undefined : 2));
    return 0;
  }

  /** Changes fields of a row (`field=value`), or replaces the whole row (`--row`). */
  async function set(): Promise<number> {
    const currentResponse = await client.call('GET', `${tablePath}/${name}`);
    const currentRow = currentResponse.ok ? (currentResponse.value.body as RowView) : undefined;
    let value: unknown;
    try {
      value =
        flags.row === undefined
          ? { ...currentRow?.value, ...Object.fromEntries(rest.map(parseField)) }
          : JSON.parse(flags.row);
    } catch (error) {
      output.printError(`--row: not valid JSON: ${(error as Error).message}`);
      return 2;
    }
    const revision = flags.ifRevision ?? currentRow?.revision;
    const headers = revision === undefined ? undefined : { 'if-match': `"${revision}"` };
    return printResponse(await client.call('PUT', `${tablePath}/${name}`, value, headers));
  }

  async function remove(): Promise<number> {
    const currentResponse = await client.call('GET', `${tablePath}/${name}`);
    if (!currentResponse.ok) {
      return printResponse(currentResponse);
    }
    const revision = flags.ifRevision ?? (currentResponse.value.body as RowView).revision;
    const headers = { 'if-match': `"${revision}"` };
    return printResponse(await client.call('DELETE', `${tablePath}/${name}`, undefined, headers));
  }

  async function importRows(): Promise<number> {
    const rows = tryReadRows(name);
    if (typeof rows === 'string') {
      output.printError(rows);
      return 2;
    }
    let accepted = 0;
    let revision = 0;
    const failed: { name: string; code: string; detail?: unknown }[] = [];
    for (let start = 0; start < rows.length; start += ROWS_PER_IMPORT_CALL) {
      const batch = rows.slice(start, start + ROWS_PER_IMPORT_CALL);
      const response = await client.call('PATCH', tablePath, { rows: batch });
      if (response.ok) {
        const body = response.value.body as {
          accepted: number;
          failed: typeof failed;
          revision: number;
        };
        accepted += body.accepted;
        failed.push(...body.failed);
        revision = Math.max(revision, body.revision);
      } else {
        failed.push(...batch.map((row) => ({ name: row.name, code: response.error })));
      }
    }
    if (output.json) {
      output.print(JSON.stringify({ accepted, failed, revision }));
    } else {
      output.print(`${accepted} rows accepted, ${failed.length} failed; revision ${revision}`);
      failed.forEach((failure) =>
        output.printError(
          `${failure.name}: ${failure.code} ${JSON.stringify(failure.detail ?? '')}`,
        ),
      );
    }
    return failed.length === 0 ? 0 : 1;
  }

  function tryReadRows(file: string): { name: string; value: unknown }[] | string {
    try {
      const text = readFileSync(file, 'utf8');
      return file.endsWith('.csv')
        ? adapterCsv.parse(text)
        : (JSON.parse(text) as { name: string; value: unknown }[]);
    } catch (error) {
      return `${file}: ${(error as Error).message}`;
    }
  }

  async function getHistory(): Promise<number> {
    return printResponse(await client.call('GET', `${tablePath}/${name}/history`));
  }

  async function getInForce(): Promise<number> {
    const query = name === undefined ? '' : `?revision=${name}`;
    const response = await client.call('GET', `/v1/table/inforce${query}`);
    if (!response.ok || output.json) {
      return printResponse(response);
    }
    const body = response.value.body as {
      everywhere: boolean;
      vms: { address: string; tableRevision: number; applied: boolean }[];
    };
    output.print(
      formatColumns(
        ['VM', 'REVISION', 'APPLIED'],
        body.vms.map((vm) => [vm.address, String(vm.tableRevision), vm.applied ? 'yes' : 'no']),
      ),
    );
    return body.everywhere ? 0 : 1;
  }
}

function parseField(argument: string): [string, unknown] {
  const separator = argument.indexOf('=');
  const field = argument.slice(0, separator < 0 ? undefined : separator);
  const text = separator < 0 ? '' : argument.slice(separator + 1);
  try {
    return [field, JSON.parse(text)];
  } catch {
    return [field, text];
  }
}

function formatAdapters(rows: RowView[]): string {
  return formatColumns(
    ['NAME', 'TEAM', 'BASE MODEL', 'CURRENT', 'WEIGHT', 'PRIORITY', 'CLASS', 'REVISION'],
    rows.map(({ name, revision, value }) => [
      name,
      ...['team', 'baseModel', 'currentVersion', 'weight', 'priority', 'class'].map((field) =>
        String(value[field]),
      ),
      String(revision),
    ]),
  );
}
