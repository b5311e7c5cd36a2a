import http from 'node:http';
import { z } from 'zod';
import type ExecutionRecord from './ExecutionRecord';
import type ServerFault from './ServerFault';
import CRASHING_PART from './CRASHING_PART';
import CRASHING_PATH from './CRASHING_PATH';
import createCrash from './createCrash';
import sign from './sign';

const LOAD_MS = 250;
const EVENT_INTERVAL_MS = 12;
/** Streams that may be resumed last longer, so that faults meet them. */
const RESUMABLE_EVENT_INTERVAL_MS = 80;
const FIRST_EVENT_DELAY_MS = 25;
const EVENT_COUNT = 8;
const LATE_COMMAND_DELAY_MS = 2500;
/** Paths ending in `/endless` get events of this size as fast as they are read. */
const ENDLESS_EVENT_BYTES = 64 * 1024;
/** Under the fault `unframed`, one in this many streams breaks off inside an event. */
const TRUNCATION_INTERVAL = 3;
/** Shortest time allowed between commands of two different owners. */
const MIN_OWNER_CHANGE_MS = 3000;

const Command = z.object({
  Op: z.enum(['load', 'unload']),
  Model: z.string(),
  Adapter: z.string().optional(),
  Version: z.number().optional(),
  Expected: z.number().optional(),
  Holder: z.string(),
  Fence: z.number(),
});

interface LoadedAdapter {
  version: number;
  readyAt: number;
  running: number;
  /** An unload was accepted; the adapter is removed when its last request has ended. */
  isUnloading: boolean;
}

interface Options {
  id: string;
  model: string;
  slots: number;
  adapterSlots: number;
  /** Returns the version of the server's software. */
  getSoftwareVersion(): string;
  getFault(): ServerFault;
  /** Returns the newest announced version of an adapter. */
  getNewestVersion(adapter: string): number;
  /** Records an arrival; returns what the server states, and whether it turns the request away. */
  recordArrival(id: string): { headers: Record<string, string>; isTurnedAway: boolean };
  onChange(): void;
  onRestart(): void;
}

/**
 * Creates a model server, which loads adapters on command, streams events with signed responses,
 * and numbers and checks the commands it receives.
 */
export default function createModelServer(record: ExecutionRecord, options: Options) {
  const adapters = new Map<string, LoadedAdapter>();
  let sequence = 0;
  let running = 0;
  let streamCount = 0;
  let lastCommand: { holder: string; fence: number; at: number } | undefined;

  const server = http.createServer(async (request, response) => {
    const parts: Buffer[] = [];
    for await (const chunk of request) {
      parts.push(chunk as Buffer);
    }
    const body = Buffer.concat(parts).toString();
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== options.id) {
      response.writeHead(421, {
        'not-executed': '1',
        'request-id': String(request.headers['request-id'] ?? ''),
      });
      response.end();
    } else if (request.url === '/api/report') {
      response.end(JSON.stringify(getReport()));
    } else if (request.url === '/api/order') {
      handleCommand(Command.parse(JSON.parse(body)), response);
    } else {
      startStream(request, response);
    }
  });

  const crash = createCrash(server, {
    onCrash: (cause) => {
      record.crashes.push({ at: Date.now(), server: options.id, cause });
      adapters.clear();
      sequence = 0;
      lastCommand = undefined;
    },
    onRestart: options.onRestart,
  });

  function handleCommand(command: z.infer<typeof Command>, response: http.ServerResponse): void {
    checkOwner(command);
    if (options.getFault() === 'silentOrders' && sequence % 2 === 1) {
      countCommand('late');
      setTimeout(() => executeCommand(command), LATE_COMMAND_DELAY_MS);
      return;
    }
    const status = executeCommand(command);
    countCommand(String(status));
    response.writeHead(status);
    response.end();
  }

  function executeCommand(command: z.infer<typeof Command>): number {
    if (command.Expected !== undefined && command.Expected !== sequence) {
      return 409;
    }
    const name = command.Adapter ?? '';
    if (command.Adapter === undefined) {
      return 200;
    }
    const loaded = adapters.get(name);
    if (command.Op === 'unload') {
      sequence += 1;
      if (loaded && loaded.running > 0) {
        loaded.isUnloading = true;
        return 202;
      }
      adapters.delete(name);
      options.onChange();
      return 200;
    }
    const version = command.Version ?? options.getNewestVersion(name);
    if (loaded && loaded.version >= version) {
      return loaded.readyAt <= Date.now() ? 200 : 202;
    }
    sequence += 1;
    adapters.set(name, {
      version,
      readyAt: Date.now() + LOAD_MS,
      running: loaded?.running ?? 0,
      isUnloading: false,
    });
    if (adapters.size > options.adapterSlots) {
      reportViolation(
        command.Holder,
        `${adapters.size} adapters in ${options.adapterSlots} places`,
      );
    }
    setTimeout(options.onChange, LOAD_MS);
    return 202;
  }

  /** Records a violation if commands of two owners interleave or the fencing number decreases. */
  function checkOwner(command: z.infer<typeof Command>): void {
    const now = Date.now();
    if (lastCommand && command.Fence < lastCommand.fence) {
      reportViolation(
        command.Holder,
        `fence ${command.Fence} after ${lastCommand.fence}`,
        lastCommand,
      );
    }
    if (lastCommand && command.Holder !== lastCommand.holder) {
      if (now - lastCommand.at < MIN_OWNER_CHANGE_MS) {
        reportViolation(
          command.Holder,
          `orders ${now - lastCommand.at} ms after the former one`,
          lastCommand,
        );
      }
    }
    lastCommand = { holder: command.Holder, fence: command.Fence, at: now };
  }

  function reportViolation(
    holder: string,
    text: string,
    former?: { holder: string; at: number },
  ): void {
    record.faults.push({ at: Date.now(), holder, text: `${options.id}: ${text}`, former });
  }

  function countCommand(outcome: string): void {
    record.orders[outcome] = (record.orders[outcome] ?? 0) + 1;
  }

  function startStream(request: http.IncomingMessage, response: http.ServerResponse): void {
    const id = String(request.headers['request-id'] ?? '');
    const { headers: stated, isTurnedAway } = options.recordArrival(id);
    const [model, name] = String(request.headers.model ?? '').split('/');
    const loaded = name === undefined ? undefined : adapters.get(name);
    const version = loaded?.version ?? 1;
    const expectedVersion = Number(request.headers['expect-version'] ?? version);
    const isServable =
      model === options.model &&
      (name === undefined ||
        (loaded !== undefined && !loaded.isUnloading && loaded.readyAt <= Date.now()));
    const refuse = (status: number) => {
      response.writeHead(status, { 'not-executed': '1', 'request-id': id, ...stated });
      response.end();
    };
    if (isTurnedAway) {
      refuse(503);
      return;
    }
    if (!isServable || expectedVersion !== version) {
      refuse(421);
      return;
    }
    if (running >= options.slots * 2) {
      refuse(503);
      return;
    }
    running += 1;
    if (loaded) {
      loaded.running += 1;
    }
    let hasEnded = false;
    const end = () => {
      if (!hasEnded) {
        hasEnded = true;
        running -= 1;
        if (loaded) {
          loaded.running -= 1;
          if (loaded.isUnloading && loaded.running === 0) {
            adapters.delete(name);
            options.onChange();
          }
        }
      }
    };
    response.once('close', end);
    const prompt = String(request.headers['prompt-prefix'] ?? '');
    const hasCrashingPart = prompt.split(',').some((part) => part.startsWith(CRASHING_PART));
    const isCrashingRequest = String(request.url).endsWith(CRASHING_PATH);
    const crashCause = hasCrashingPart ? 'part' : isCrashingRequest && String(request.url);
    if (crashCause) {
      record.crashingArrivals.push({ at: Date.now(), id, cause: crashCause });
    }
    const from = Number(request.headers['last-event-id'] ?? 0);
    const isOnce = !String(request.url).includes('/resume/');
    (record.runs[id] ??= []).push({
      at: Date.now(),
      server: options.id,
      model: name ?? model,
      version,
      isOnce,
    });
    let event = from;
    const build = options.getSoftwareVersion();
    streamCount += 1;
    const isUnframed = options.getFault() === 'unframed';
    const isTruncated = isUnframed && streamCount % TRUNCATION_INTERVAL === 0;
    const send = () => {
      if (hasEnded) {
        return;
      }
      if (crashCause) {
        crash(crashCause);
        return;
      }
      if (!response.headersSent) {
        response.useChunkedEncodingByDefault = !isUnframed;
        response.writeHead(200, {
          'content-type': 'text/event-stream',
          'request-id': id,
          'response-signature': sign(id, options.id),
          'weight-versions': String(version),
          ...stated,
        });
      }
      event += 1;
      if (String(request.url).endsWith('/endless')) {
        const isRead = response.write(`id: ${event}\ndata: ${'x'.repeat(ENDLESS_EVENT_BYTES)}\n\n`);
        if (isRead) {
          setImmediate(send);
        } else {
          response.once('drain', send);
        }
        return;
      }
      const text = `id: ${event}\ndata: ${JSON.stringify({ id, name, version, event, build })}\n\n`;
      const isLast = event >= EVENT_COUNT;
      response.write(isLast && isTruncated ? text.slice(0, text.length / 2) : text);
      if (isLast) {
        end();
        response.end();
      } else {
        setTimeout(send, isOnce ? EVENT_INTERVAL_MS : RESUMABLE_EVENT_INTERVAL_MS);
      }
    };
    setTimeout(send, FIRST_EVENT_DELAY_MS);
  }

  function getReport() {
    return {
      Stage: 'colocated',
      Models: getModels(),
      Coming: [...adapters]
        .filter(([, { readyAt }]) => readyAt > Date.now())
        .map(([name, { version }]) => `${options.model}/${name}@${version}`),
      Busy: false,
      Seq: sequence,
      Queued: 0,
      Running: running,
    };
  }

  function getModels() {
    const readyAdapters = [...adapters].filter(([, { readyAt }]) => readyAt <= Date.now());
    return [
      {
        Name: options.model,
        Version: 1,
        Adapters: readyAdapters.map(([name, { version }]) => `${name}@${version}`),
      },
    ];
  }

  return { server, getModels, crash };
}
