import { once } from 'node:events';
import http from 'node:http';
import type ExecutionRecord from './ExecutionRecord';
import CRASHING_PATH from './CRASHING_PATH';
import createCrash from './createCrash';
import type ServerFault from './ServerFault';
import sign from './sign';

const SERVICE_MS = 15;
/** A brittle server works slowly, and lets few requests wait. */
const BRITTLE_SERVICE_MS = 300;
const SLOW_SERVICE_MS = 400;
const BRITTLE_WAITING = 1;
const SLOTS = 6;
/** Under the fault `unframed`, one in this many responses breaks off inside its body. */
const TRUNCATION_INTERVAL = 3;
const RESET_DELAY_MS = 5;
/** Paths ending in `/large` get a body that a VM keeps until it is complete, `/huge` a larger one. */
const LARGE_BODY_BYTES = 900_000;
const HUGE_BODY_BYTES = 24 * 1024 * 1024;

/** Creates a plain server, which records each execution under the caller's request id. */
export default function createPlainServer(
  record: ExecutionRecord,
  options: {
    id: string;
    getFault(): ServerFault;
    /** Records an arrival; returns what the server states, and whether it turns the request away. */
    recordArrival(id: string): { headers: Record<string, string>; isTurnedAway: boolean };
    /** Returns whether the server ends if it has to turn many requests away. */
    isBrittle(): boolean;
    /** Called when a request is turned away for want of room; returns whether that ends the server. */
    isEndedByRefusal(): boolean;
    onRestart(): void;
  },
) {
  let running = 0;
  let responseCount = 0;
  const server = http.createServer(async (request, response) => {
    const id = String(request.headers['request-id'] ?? '');
    request.resume();
    await once(request, 'end');
    const { headers: stated, isTurnedAway } = options.recordArrival(id);
    const refuse = (status: number) => {
      response.writeHead(status, { 'not-executed': '1', 'request-id': id, ...stated });
      response.end();
    };
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== options.id) {
      refuse(421);
      return;
    }
    if (isTurnedAway) {
      refuse(503);
      return;
    }
    if (running >= SLOTS + (options.isBrittle() ? BRITTLE_WAITING : SLOTS)) {
      refuse(503);
      if (options.isEndedByRefusal()) {
        crash();
      }
      return;
    }
    running += 1;
    const path = String(request.url);
    const isCrashing = path.endsWith(CRASHING_PATH);
    if (isCrashing) {
      record.crashingArrivals.push({ at: Date.now(), id, cause: path });
    }
    const isOnce = request.method === 'POST';
    (record.runs[id] ??= []).push({
      at: Date.now(),
      server: options.id,
      model: '',
      version: 0,
      isOnce,
    });
    await new Promise((resolve) => {
      setTimeout(resolve, getServiceMs());
    });
    running -= 1;
    if (isCrashing) {
      crash(path);
      return;
    }
    const fault = options.getFault();
    if (fault === 'loseAnswers') {
      request.socket.resetAndDestroy();
      return;
    }
    if (fault === 'errors') {
      response.writeHead(500, {
        'request-id': id,
        'response-signature': sign(id, options.id),
        ...stated,
      });
      response.end('failed');
      return;
    }
    if (fault === 'oddStatus') {
      const status = responseCount % 2 === 0 ? '000' : '099';
      responseCount += 1;
      request.socket.write(
        `HTTP/1.1 ${status} Odd\r\nrequest-id: ${id}\r\ncontent-length: 4\r\n\r\ndone`,
      );
      return;
    }
    responseCount += 1;
    response.useChunkedEncodingByDefault = fault !== 'unframed';
    response.writeHead(200, {
      'request-id': id,
      'response-signature': sign(id, options.id),
      ...stated,
    });
    if (fault === 'unframed' && responseCount % TRUNCATION_INTERVAL === 0) {
      response.write('{"id":');
      setTimeout(() => request.socket.resetAndDestroy(), RESET_DELAY_MS);
      return;
    }
    response.write(''); // Keeps Node.js from adding a length.
    if (path.endsWith('/large') || path.endsWith('/huge')) {
      response.end(Buffer.alloc(path.endsWith('/large') ? LARGE_BODY_BYTES : HUGE_BODY_BYTES, 'x'));
      return;
    }
    response.end(JSON.stringify({ id, server: options.id, path: request.url }));
  });
  const crash = createCrash(server, {
    onCrash: (cause) => {
      record.crashes.push({ at: Date.now(), server: options.id, cause });
    },
    onRestart: options.onRestart,
  });

  function getServiceMs(): number {
    if (options.getFault() === 'slow') {
      return SLOW_SERVICE_MS;
    }
    return options.isBrittle() ? BRITTLE_SERVICE_MS : SERVICE_MS;
  }

  return { server, crash };
}
