import http from 'node:http';

const LOAD_MS = 250;
const REPORT_LAG_MS = 100;
const EVENT_INTERVAL_MS = 10;
const EVENTS = 3;
/** Idle channels are closed after this time, which the `Keep-Alive` header states. */
const IDLE_TIMEOUT_MS = 15_000;

/**
 * Creates a stand-in of a model server, which takes orders, reports what it holds and streams answers, as
 * the page on the protocol describes it. `onOrder` is called for each order that arrives.
 */
export default function createModelServer({ id, model, places, slots, born, onOrder, onRun }) {
  const adapters = new Map();
  let sequence = 0;
  let running = 0;
  let report = getReport();

  function getReport() {
    const now = performance.now();
    const entries = [...adapters];
    return {
      born,
      Stage: 'colocated',
      Models: [
        {
          Name: model,
          Version: 1,
          Adapters: entries
            .filter(([, { readyAt }]) => readyAt <= now)
            .map(([name, { version }]) => `${name}@${version}`),
        },
      ],
      Coming: entries
        .filter(([, { readyAt }]) => readyAt > now)
        .map(([name, { version }]) => `${model}/${name}@${version}`),
      Busy: false,
      Seq: sequence,
      Queued: 0,
      Running: running,
      KvUsed: 0,
      KvTotal: 100_000,
      Handles: 0,
    };
  }

  const timer = setInterval(() => {
    report = getReport();
  }, REPORT_LAG_MS);

  /** Carries out an order; returns the status of the answer. */
  function execute({ Op, Adapter, Expected, Holder, Fence, Version }) {
    if (Holder === undefined || Fence === undefined) {
      return 400;
    }
    if (Adapter === undefined) {
      return Op === 'load' ? 200 : 400;
    }
    const held = adapters.get(Adapter);
    const isHeld = held && (Version === undefined || held.version === Version);
    if (Op === 'load' && isHeld) {
      return held.readyAt <= performance.now() ? 200 : 202;
    }
    if (Expected !== undefined && Expected !== sequence) {
      return 409;
    }
    sequence += 1;
    if (Op === 'load') {
      adapters.set(Adapter, {
        version: Version ?? 1,
        readyAt: performance.now() + LOAD_MS,
        running: held?.running ?? 0,
      });
      return 202;
    }
    if (held && held.running > 0) {
      held.isLeaving = true;
      return 202;
    }
    adapters.delete(Adapter);
    return 200;
  }

  function serveStream(request, response) {
    const requestId = request.headers['request-id'];
    const [name, adapter] = String(request.headers.model).split('/');
    const held = adapters.get(adapter);
    const refuse = (status) => {
      response.writeHead(status, { 'not-executed': '1', 'request-id': requestId });
      response.end();
    };
    const expected = request.headers['expect-version'];
    if (
      name !== model ||
      !held ||
      held.isLeaving ||
      held.readyAt > performance.now() ||
      (expected !== undefined && Number(expected) !== held.version)
    ) {
      refuse(421);
      return;
    }
    if (running >= slots) {
      refuse(503);
      return;
    }
    onRun?.(requestId);
    running += 1;
    held.running += 1;
    let event = Number(request.headers['last-event-id'] ?? 0);
    const interval = setInterval(() => {
      event += 1;
      if (event === 1) {
        response.writeHead(200, {
          'content-type': 'text/event-stream',
          'request-id': requestId,
          'response-signature': `${id}.${requestId}`,
          'weight-versions': '1',
          'server-load': `${running},0,${slots}`,
        });
      }
      response.write(`id: ${event}\ndata: ${requestId} ${event}\n\n`);
      if (event >= EVENTS) {
        response.end();
      }
    }, EVENT_INTERVAL_MS);
    response.once('close', () => {
      clearInterval(interval);
      running -= 1;
      held.running -= 1;
      if (held.isLeaving && held.running === 0) {
        adapters.delete(adapter);
      }
    });
  }

  const server = http.createServer(async (request, response) => {
    const parts = [];
    try {
      for await (const part of request) {
        parts.push(part);
      }
    } catch {
      return;
    }
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'instance-id': id });
      response.end();
      return;
    }
    if (request.url === '/api/report') {
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(JSON.stringify(report));
      return;
    }
    if (request.url === '/api/order') {
      const order = JSON.parse(Buffer.concat(parts).toString());
      const status = execute(order);
      onOrder({ server: id, order, status });
      response.writeHead(status);
      response.end();
      return;
    }
    serveStream(request, response);
  });

  server.keepAliveTimeout = IDLE_TIMEOUT_MS;

  return {
    server,
    getModels: () => getReport().Models,
    close: () => {
      clearInterval(timer);
      server.closeAllConnections();
      server.close();
    },
  };
}
