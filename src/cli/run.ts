import meow from 'meow';
import type { z } from 'zod';
import { match } from 'ts-pattern';
import PlatformSettings from '../settings/PlatformSettings';
import Settings from '../settings/Settings';
import getRedactedSettings from '../settings/getRedactedSettings';
import readSettings from '../settings/readSettings';
import createClient from './createClient';
import type Output from './Output';
import runExplain from './runExplain';
import runStatus from './runStatus';
import runTable from './runTable';
import runWhere from './runWhere';
import serve from './serve';

const VERSION = '0.1.0';

type PlatformOptions = z.infer<typeof PlatformSettings>;

const HELP = `
  Usage
    baobablink serve [settings]            run an entry VM
    baobablink serve-platform [settings]   run an entry VM that routes by the platform's manifest
    baobablink explain REQUEST [FILE…]     show the events of a request in log files or standard input
    baobablink check [settings]            validate the settings and show them
    baobablink where ADAPTER               list the entry VMs to use for an adapter
    baobablink status                      show members, pool owners and resident adapters
    baobablink table list [--prefix P]     list the rows of a kind
    baobablink table get NAME              show one row
    baobablink table set NAME FIELD=VALUE… change fields, or replace the row with --row JSON
    baobablink table delete NAME           delete a row
    baobablink table import FILE           import rows from a .csv or .json file
    baobablink table export [--format csv] export rows as CSV or JSON
    baobablink table history NAME          show earlier states of a row
    baobablink table inforce [REVISION]    show which VMs have applied a revision

  Options of where, status and table
    --url URLS         entry VMs, comma-separated (BAOBABLINK_URL)
    --token SECRET     operator's token or caller's key (BAOBABLINK_TOKEN)
    --kind KIND        kind of rows: adapters (default), upstreams or teams
    --if-revision N    edit only if the row still has this revision
    --json             print JSON, for scripts

  Settings of serve and check
${Object.entries(Settings.shape)
  .map(
    ([name, schema]) => `    ${getFlagName(name).padEnd(28)} ${(schema as z.ZodType).description}`,
  )
  .join('\n')}

  Settings of serve-platform
${Object.entries(PlatformSettings.shape)
  .map(
    ([name, schema]) => `    ${getFlagName(name).padEnd(28)} ${(schema as z.ZodType).description}`,
  )
  .join('\n')}

  Each setting can also be given as an environment variable: --mesh-port as BAOBABLINK_MESH_PORT.
  Exit codes: 0 success, 1 refused or failed, 2 wrong usage.
`;

/** Runs the command given by `args`. Returns the exit code. */
export default async function run(
  args: string[],
  environment: Record<string, string | undefined>,
  servePlatform: (options: PlatformOptions) => Promise<number>,
): Promise<number> {
  const settingFlags = Object.fromEntries(
    [...Object.keys(Settings.shape), ...Object.keys(PlatformSettings.shape)].map((name) => [
      name,
      { type: 'string' as const },
    ]),
  );
  const cli = meow(HELP, {
    importMeta: { url: import.meta.url } as ImportMeta,
    argv: args,
    pkg: { name: 'baobablink', version: VERSION },
    version: VERSION,
    description: 'baobablink: serving layer for very many LoRA adapters',
    allowUnknownFlags: false,
    flags: {
      ...settingFlags,
      url: { type: 'string', default: environment.BAOBABLINK_URL ?? 'http://127.0.0.1:8080' },
      token: { type: 'string' },
      kind: { type: 'string', default: 'adapters' },
      prefix: { type: 'string', default: '' },
      format: { type: 'string', default: 'json' },
      row: { type: 'string' },
      ifRevision: { type: 'number' },
      json: { type: 'boolean', default: false },
    },
  });
  const flags = cli.flags as Record<string, unknown> & { json: boolean; url: string };
  const output: Output = {
    json: flags.json,
    print: (text) => process.stdout.write(`${text}\n`),
    printError: (text) => process.stderr.write(`baobablink: ${text}\n`),
  };
  const client = createClient(
    flags.url.split(','),
    (flags.token as string | undefined) ?? environment.BAOBABLINK_TOKEN,
  );
  const [command, ...rest] = cli.input;
  return match(command)
    .with('serve', () => runWithSettings(Settings, serve))
    .with('serve-platform', () => runWithSettings(PlatformSettings, servePlatform))
    .with('explain', () =>
      rest.length > 0 ? runExplain(rest[0], rest.slice(1), output) : reportUsageError(),
    )
    .with('check', () =>
      runWithSettings(Settings, async (settings) => {
        output.print(JSON.stringify(getRedactedSettings(settings), undefined, 2));
        return 0;
      }),
    )
    .with('where', () =>
      rest.length === 1 ? runWhere(rest[0], client, output) : reportUsageError(),
    )
    .with('status', () => runStatus(client, output))
    .with('table', () => runTable(rest, flags as never, client, output))
    .otherwise(reportUsageError);

  async function runWithSettings<Shape extends z.ZodObject>(
    schema: Shape,
    action: (settings: z.infer<Shape>) => Promise<number>,
  ): Promise<number> {
    const settings = readSettings(schema, flags, environment);
    if (!settings.ok) {
      settings.error.forEach((message) => output.printError(message));
      return 2;
    }
    return action(settings.value);
  }

  async function reportUsageError(): Promise<number> {
    output.printError(`unknown or incomplete command: ${args.join(' ') || '(none)'}; see --help`);
    return 2;
  }
}

function getFlagName(name: string): string {
  return `--${name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;
}
