import { readFileSync } from 'node:fs';
import { match } from 'ts-pattern';
import TableKind from '../table/TableKind';
import type AdapterRow from '../table/AdapterRow';
import adapterCsv from './adapterCsv';
import type Client from './Client';
import formatColumns from './formatColumns';
import type Output from './Output';

const PAGE_ROWS = 1000;
const IMPORT_ROWS_PER_CALL = 600;
const USAGE = 'usage: baobablink table list|get|set|delete|import|export|history|inforce …';

interface View {
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

/** Runs `baobablink table`; answers the exit code. */
export default function runTable(
  words: string[],
  flags: TableFlags,
  client: Client,
  output: Output,
): Promise<number> {
  const [action, name, ...rest] = words;
  const root = `/v1/table/${flags.kind}`;
  if (!TableKind.includes(flags.kind as TableKind)) {
    output.fail(`--kind: ${flags.kind} is refused: expected ${TableKind.join(', ')}`);
    return Promise.resolve(2);
  }
  const isNamed = name !== undefined;
  return match(action)
    .with('list', () => list())
    .with('export', () => exportRows())
    .with('get', () => (isNamed ? get() : refuseUsage()))
    .with('set', () => (isNamed ? set() : refuseUsage()))
    .with('delete', () => (isNamed ? remove() : refuseUsage()))
    .with('import', () => (isNamed ? importRows() : refuseUsage()))
    .with('history', () => (isNamed ? getHistory() : refuseUsage()))
    .with('inforce', () => getInForce())
    .otherwise(refuseUsage);

  async function refuseUsage(): Promise<number> {
    output.fail(USAGE);
    return 2;
  }

  async function readAll(): Promise<View[] | undefined> {
    const rows: View[] = [];
    let after: string | undefined = '';
    while (after !== undefined) {
      const query = new URLSearchParams({ prefix: flags.prefix, after, limit: String(PAGE_ROWS) });
      const answer = await client.call('GET', `${root}?${query}`);
      if (!answer.ok) {
        output.fail(answer.error);
        return undefined;
      }
      const page = answer.value.body as { rows: View[]; next?: string };
      rows.push(...page.rows);
      after = page.next;
    }
    return rows;
  }

  async function list(): Promise<number> {
    const rows = await readAll();
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
    const rows = await readAll();
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
    return show(await client.call('GET', `${root}/${name}`));
  }

  function show(answer: Awaited<ReturnType<Client['call']>>): number {
    if (!answer.ok) {
      output.fail(answer.error);
      return 1;
    }
    output.print(JSON.stringify(answer.value.body, undefined, output.json ? undefined : 2));
    return 0;
  }

  /** Changes fields of a row (`field=value`), or sets it whole with `--row`. */
  async function set(): Promise<number> {
    const present = await client.call('GET', `${root}/${name}`);
    const base = present.ok ? (present.value.body as View) : undefined;
    let value: unknown;
    try {
      value =
        flags.row === undefined
          ? { ...base?.value, ...Object.fromEntries(rest.map(parseField)) }
          : JSON.parse(flags.row);
    } catch (error) {
      output.fail(`--row: not valid JSON: ${(error as Error).message}`);
      return 2;
    }
    const revision = flags.ifRevision ?? base?.revision;
    const headers = revision === undefined ? undefined : { 'if-match': `"${revision}"` };
    return show(await client.call('PUT', `${root}/${name}`, value, headers));
  }

  async function remove(): Promise<number> {
    const present = await client.call('GET', `${root}/${name}`);
    if (!present.ok) {
      return show(present);
    }
    const revision = flags.ifRevision ?? (present.value.body as View).revision;
    const headers = { 'if-match': `"${revision}"` };
    return show(await client.call('DELETE', `${root}/${name}`, undefined, headers));
  }

  async function importRows(): Promise<number> {
    const rows = tryReadRows(name);
    if (typeof rows === 'string') {
      output.fail(rows);
      return 2;
    }
    let accepted = 0;
    let revision = 0;
    const failed: { name: string; code: string; detail?: unknown }[] = [];
    for (let start = 0; start < rows.length; start += IMPORT_ROWS_PER_CALL) {
      const part = rows.slice(start, start + IMPORT_ROWS_PER_CALL);
      const answer = await client.call('PATCH', root, { rows: part });
      if (answer.ok) {
        const body = answer.value.body as {
          accepted: number;
          failed: typeof failed;
          revision: number;
        };
        accepted += body.accepted;
        failed.push(...body.failed);
        revision = Math.max(revision, body.revision);
      } else {
        failed.push(...part.map((row) => ({ name: row.name, code: answer.error })));
      }
    }
    if (output.json) {
      output.print(JSON.stringify({ accepted, failed, revision }));
    } else {
      output.print(`${accepted} rows accepted, ${failed.length} not; revision ${revision}`);
      failed.forEach((failure) =>
        output.fail(`${failure.name}: ${failure.code} ${JSON.stringify(failure.detail ?? '')}`),
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
    return show(await client.call('GET', `${root}/${name}/history`));
  }

  async function getInForce(): Promise<number> {
    const query = name === undefined ? '' : `?revision=${name}`;
    const answer = await client.call('GET', `/v1/table/inforce${query}`);
    if (!answer.ok || output.json) {
      return show(answer);
    }
    const body = answer.value.body as {
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

function parseField(word: string): [string, unknown] {
  const separator = word.indexOf('=');
  const field = word.slice(0, separator < 0 ? undefined : separator);
  const text = separator < 0 ? '' : word.slice(separator + 1);
  try {
    return [field, JSON.parse(text)];
  } catch {
    return [field, text];
  }
}

function formatAdapters(rows: View[]): string {
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
