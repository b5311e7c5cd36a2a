import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { z } from 'zod';
import type Output from './Output';

const Line = z.object({
  time: z.number(),
  message: z.string(),
  context: z.looseObject({
    name: z.string(),
    event: z.number(),
    vm: z.string().optional(),
    request: z.string().optional(),
    adapter: z.string().optional(),
    upstream: z.string().optional(),
    engine: z.string().optional(),
  }),
});
type Line = z.infer<typeof Line>;

/** What happened to the request's upstream or adapter this long before its end may be the cause. */
const BEFORE_MS = 20_000;
/** Events of an upstream that touch every request there. */
const UPSTREAM_EVENTS = new Set(['upstreamSuspended', 'upstreamGone', 'upstreamSeen']);

/** Prints what logs say of a request: its own events, and those of its adapter and upstream. */
export default async function runExplain(
  request: string,
  files: string[],
  output: Output,
): Promise<number> {
  const lines: Line[] = [];
  const inputs = files.length > 0 ? files.map((file) => createReadStream(file)) : [process.stdin];
  await Promise.all(
    inputs.map(async (input) => {
      for await (const text of createInterface({ input })) {
        const line = tryParse(text);
        if (line) {
          lines.push(line);
        }
      }
    }),
  );
  const own = lines.filter((line) => line.context.request === request);
  if (own.length === 0) {
    output.fail(`no event of request ${request} in ${lines.length} events`);
    return 1;
  }
  const endedAt = Math.max(...own.map(({ time }) => time));
  const adapters = new Set(own.map(({ context }) => context.adapter).filter(Boolean));
  const upstreams = new Set(own.map(({ context }) => context.upstream).filter(Boolean));
  const isNear = ({ time }: Line) => time <= endedAt && time > endedAt - BEFORE_MS;
  const related = lines.filter(
    (line) =>
      isNear(line) &&
      line.context.request === undefined &&
      (isOfAdapter(line, adapters) ||
        (UPSTREAM_EVENTS.has(line.context.name) && upstreams.has(line.context.upstream))),
  );
  const chain = [...own, ...related].sort((left, right) => left.time - right.time);
  if (output.json) {
    output.print(JSON.stringify(chain));
    return 0;
  }
  chain.forEach((line) => output.print(formatLine(line, endedAt)));
  return 0;
}

/** Events name adapters alone or behind their model. */
function isOfAdapter(line: Line, adapters: ReadonlySet<string | undefined>): boolean {
  return adapters.has(line.context.adapter?.split('/').at(-1));
}

function formatLine({ time, message, context }: Line, endedAt: number): string {
  const { name, event, vm, ...fields } = context;
  const details = Object.entries(fields)
    .filter(([field]) => field !== 'logLevel')
    .map(([field, value]) => `${field}=${String(value)}`)
    .join(' ');
  return `${String(time - endedAt).padStart(7)} ms  ${vm ?? ''}  ${event} ${name}  ${details}  (${message})`;
}

/** Lines of other programs, or with a prefix before the event, are common in collected logs. */
function tryParse(text: string): Line | undefined {
  const from = text.indexOf('{');
  if (from < 0) {
    return undefined;
  }
  try {
    return Line.safeParse(JSON.parse(text.slice(from))).data;
  } catch {
    return undefined;
  }
}
