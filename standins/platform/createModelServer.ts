import http from 'node:http';
import { z } from 'zod';
import type Ledger from './Ledger';
import type ServerFault from './ServerFault';
import sign from './sign';

const LOAD_MS = 250;
const EVENT_MS = 12;
const FIRST_EVENT_MS = 25;
const EVENTS = 8;
const LATE_ORDER_MS = 2500;
/** Owners may not take turns within this time. */
const OWNER_GAP_MS = 3000;

const Order = z.object({
  Op: z.enum(['load', 'unload']),
  Model: z.string(),
  Adapter: z.string().optional(),
  Version: z.number().optional(),
  Expected: z.number().optional(),
  Holder: z.string(),
  Fence: z.number(),
});

interface Held {
  version: number;
  readyAt: number;
  running: number;
  /** Ordered to go; it does when its last run has ended. */
  isLeaving: boolean;
}

interface Options {
  id: string;
  model: string;
  slots: number;
  places: number;
  getFault(): ServerFault;
  /** Newest version announced of an adapter. */
  getVersion(adapter: string): number;
  onChange(): void;
}

/** A model server: adapters loaded by order, streams of events, receipts, a count of orders. */
export default function createModelServer(ledger: Ledger, options: Options) {
  const adapters = new Map<string, Held>();
  let sequence = 0;
  let running = 0;
  let lastOrder: { holder: string; fence: number; at: number } | undefined;

  const server = http.createServer(async (request, response) => {
    const parts: Buffer[] = [];
    for await (const chunk of request) {
      parts.push(chunk as Buffer);
    }
    const body = Buffer.concat(parts).toString();
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== options.id) {
      response.writeHead(421, { 'not-executed': '1' });
      response.end();
    } else if (request.url === '/api/report') {
      response.end(JSON.stringify(getReport()));
    } else if (request.url === '/api/order') {
      takeOrder(Order.parse(JSON.parse(body)), response);
    } else {
      run(request, response);
    }
  });

  function takeOrder(order: z.infer<typeof Order>, response: http.ServerResponse): void {
    noteOwner(order);
    if (options.getFault() === 'silentOrders' && sequence % 2 === 1) {
      count('late');
      setTimeout(() => carryOut(order), LATE_ORDER_MS);
      return;
    }
    const status = carryOut(order);
    count(String(status));
    response.writeHead(status);
    response.end();
  }

  function carryOut(order: z.infer<typeof Order>): number {
    if (order.Expected !== undefined && order.Expected !== sequence) {
      return 409;
    }
    const name = order.Adapter ?? '';
    if (order.Adapter === undefined) {
      return 200;
    }
    const held = adapters.get(name);
    if (order.Op === 'unload') {
      sequence += 1;
      if (held && held.running > 0) {
        held.isLeaving = true;
        return 202;
      }
      adapters.delete(name);
      options.onChange();
      return 200;
    }
    const version = order.Version ?? options.getVersion(name);
    if (held && held.version >= version) {
      return held.readyAt <= Date.now() ? 200 : 202;
    }
    sequence += 1;
    adapters.set(name, {
      version,
      readyAt: Date.now() + LOAD_MS,
      running: held?.running ?? 0,
      isLeaving: false,
    });
    if (adapters.size > options.places) {
      blame(order.Holder, `${adapters.size} adapters in ${options.places} places`);
    }
    setTimeout(options.onChange, LOAD_MS);
    return 202;
  }

  /** Orders of two owners must neither mix nor go back. */
  function noteOwner(order: z.infer<typeof Order>): void {
    const now = Date.now();
    if (lastOrder && order.Fence < lastOrder.fence) {
      blame(order.Holder, `fence ${order.Fence} after ${lastOrder.fence}`, lastOrder);
    }
    if (lastOrder && order.Holder !== lastOrder.holder) {
      if (now - lastOrder.at < OWNER_GAP_MS) {
        blame(order.Holder, `orders ${now - lastOrder.at} ms after the former one`, lastOrder);
      }
    }
    lastOrder = { holder: order.Holder, fence: order.Fence, at: now };
  }

  function blame(holder: string, text: string, former?: { holder: string; at: number }): void {
    ledger.faults.push({ at: Date.now(), holder, text: `${options.id}: ${text}`, former });
  }

  function count(outcome: string): void {
    ledger.orders[outcome] = (ledger.orders[outcome] ?? 0) + 1;
  }

  function run(request: http.IncomingMessage, response: http.ServerResponse): void {
    const id = String(request.headers['request-id'] ?? '');
    const [model, name] = String(request.headers.model ?? '').split('/');
    const held = name === undefined ? undefined : adapters.get(name);
    const version = held?.version ?? 1;
    const wanted = Number(request.headers['expect-version'] ?? version);
    const isHere =
      model === options.model &&
      (name === undefined || (held !== undefined && !held.isLeaving && held.readyAt <= Date.now()));
    const refuse = (status: number) => {
      response.writeHead(status, { 'not-executed': '1', 'request-id': id });
      response.end();
    };
    if (!isHere || wanted !== version) {
      refuse(421);
      return;
    }
    if (running >= options.slots * 2) {
      refuse(503);
      return;
    }
    running += 1;
    if (held) {
      held.running += 1;
    }
    let isOver = false;
    const end = () => {
      if (!isOver) {
        isOver = true;
        running -= 1;
        if (held) {
          held.running -= 1;
          if (held.isLeaving && held.running === 0) {
            adapters.delete(name);
            options.onChange();
          }
        }
      }
    };
    response.once('close', end);
    const from = Number(request.headers['last-event-id'] ?? 0);
    const isOnce = !String(request.url).includes('/resume/');
    (ledger.runs[id] ??= []).push({
      at: Date.now(),
      server: options.id,
      model: name ?? model,
      version,
      isOnce,
    });
    let event = from;
    const send = () => {
      if (isOver) {
        return;
      }
      if (!response.headersSent) {
        response.writeHead(200, {
          'content-type': 'text/event-stream',
          'request-id': id,
          'response-signature': sign(id, options.id),
          'weight-versions': String(version),
        });
      }
      event += 1;
      response.write(`id: ${event}\ndata: ${JSON.stringify({ id, name, version, event })}\n\n`);
      if (event >= EVENTS) {
        end();
        response.end();
      } else {
        setTimeout(send, EVENT_MS);
      }
    };
    setTimeout(send, FIRST_EVENT_MS);
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
    const held = [...adapters].filter(([, { readyAt }]) => readyAt <= Date.now());
    return [
      {
        Name: options.model,
        Version: 1,
        Adapters: held.map(([name, { version }]) => `${name}@${version}`),
      },
    ];
  }

  return { server, getModels };
}
