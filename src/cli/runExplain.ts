import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { z } from 'zod';
import type Output from './Output';

const LogEvent = z.object({
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
type LogEvent = z.infer<typeof LogEvent>;

/**
 * Events of the request's adapter or upstream within this time before the request's last event may
 * have caused its outcome.
 */
const RELATED_WINDOW_MS = 20_000;
/** Events of an upstream that affect every request on it. */
const UPSTREAM_EVENTS = new Set([
  'upstreamSuspended',
  'upstreamGone',
  'upstreamSeen',
  'upstreamStatedLeaving',
  'upstreamRested',
]);

/**
 * Runs `baobablink explain`: prints the logged events of a request, and those of its adapters and
 * upstreams that preceded its end, in the order of their times. Returns the exit code.
 */
export default async function runExplain(
  requestId: string,
  files: string[],
  output: Output,
): Promise<number> {
  const events: LogEvent[] = [];
  const inputs = files.length > 0 ? files.map((file) => createReadStream(file)) : [process.stdin];
  await Promise.all(
    inputs.map(async (input) => {
      for await (const text of createInterface({ input })) {
        const event = tryParseEvent(text);
        if (event) {
          events.push(event);
        }
      }
    }),
  );
  const ownEvents = events.filter((event) => event.context.request === requestId);
  if (ownEvents.length === 0) {
    output.printError(`no event of request ${requestId} in ${events.length} events`);
    return 1;
  }
  const endedAt = Math.max(...ownEvents.map(({ time }) => time));
  const adapters = new Set(ownEvents.map(({ context }) => context.adapter).filter(Boolean));
  const upstreams = new Set(ownEvents.map(({ context }) => context.upstream).filter(Boolean));
  const isInWindow = ({ time }: LogEvent) => time <= endedAt && time > endedAt - RELATED_WINDOW_MS;
  const related = events.filter(
    (event) =>
      isInWindow(event) &&
      event.context.request === undefined &&
      (hasAdapter(event, adapters) ||
        (UPSTREAM_EVENTS.has(event.context.name) && upstreams.has(event.context.upstream))),
  );
  const timeline = [...ownEvents, ...related].sort((left, right) => left.time - right.time);
  if (output.json) {
    output.print(JSON.stringify(timeline));
    return 0;
  }
  timeline.forEach((event) => output.print(formatEvent(event, endedAt)));
  return 0;
}

/** An event names its adapter either as `adapter` or as `model/adapter`. */
function hasAdapter(event: LogEvent, adapters: ReadonlySet<string | undefined>): boolean {
  return adapters.has(event.context.adapter?.split('/').at(-1));
}

function formatEvent({ time, message, context }: LogEvent, endedAt: number): string {
  const { name, event, vm, ...fields } = context;
  const details = Object.entries(fields)
    .filter(([field]) => field !== 'logLevel')
    .map(([field, value]) => `${field}=${String(value)}`)
    .join(' ');
  return `${String(time - endedAt).padStart(7)} ms  ${vm ?? ''}  ${event} ${name}  ${details}  (${message})`;
}

/**
 * Parses the event in a line of a log, behind any prefix. Returns undefined for a line without an
 * event. Collected logs often have prefixes and lines of other programs.
 */
function tryParseEvent(text: string): LogEvent | undefined {
  const start = text.indexOf('{');
  if (start < 0) {
    return undefined;
  }
  try {
    return LogEvent.safeParse(JSON.parse(text.slice(start))).data;
  } catch {
    return undefined;
  }
}
