import http from 'node:http';

const REPORT_LAG_MS = 100;
const RESTART_MS = 1000;
const LATE_MIN_MS = 2000;
const LATE_MAX_MS = 12_000;
const MAX_COMING = 4;
const EVENT_MS = 40;

/**
 * Creates a model server as PROTOCOL.md describes it. It starts with its model; after a restart under
 * the same id it is empty and counts its orders anew. `isLate` says whether an order gets no answer
 * and is carried out 2 to 12 s later; `listsLeaving`, whether its reports list adapters that are unloaded
 * once their runs have ended.
 */
export default function createEngine(options) {
  const { id, model, adapterSlots, loadMs, adapterMs, events, note } = options;
  const [host, port] = options.address.split(':');
  const sockets = new Set();
  let adapters = new Map();
  let runId = 1;
  let born = Date.now();
  let sequence = 0;
  let modelReadyAt = 0;
  let isUp = false;
  let running = 0;
  let reports = [];

  const now = () => performance.now();
  const hasModel = () => modelReadyAt !== undefined && modelReadyAt <= now();
  const isBusy = () => modelReadyAt !== undefined && modelReadyAt > now();

  function getModels() {
    const ready = [...adapters].filter(
      ([, { readyAt, isLeaving }]) => readyAt <= now() && (options.listsLeaving || !isLeaving),
    );
    return hasModel()
      ? [
          {
            Name: model,
            Version: 1,
            Adapters: ready.map(([name, { version }]) => `${name}@${version}`),
          },
        ]
      : [];
  }

  function getReport() {
    const coming = [...adapters].filter(([, { readyAt }]) => readyAt > now());
    return {
      Stage: 'colocated',
      Models: getModels(),
      Busy: isBusy(),
      Seq: sequence,
      Queued: 0,
      Running: running,
      KvUsed: 0,
      KvTotal: 90_000,
      Handles: 0,
      Coming: coming.map(([name, { version }]) => `${model}/${name}@${version}`),
    };
  }

  /** Keeps reports, since those that it gives are some hundred milliseconds old. */
  const sampler = setInterval(() => {
    reports.push({ at: now(), report: getReport() });
    reports = reports.slice(-50);
  }, 20);

  function getOldReport() {
    const old = reports.filter(({ at }) => at <= now() - REPORT_LAG_MS);
    return (old.at(-1) ?? reports[0] ?? { report: getReport() }).report;
  }

  function register() {
    options.register({
      Backend: options.service,
      Addr: options.address,
      Zone: options.zone,
      Version: 'v1',
      Slots: options.slots,
      State: 'ready',
      ColdLeftMs: 0,
      Seq: 1,
      born,
      Stage: 'colocated',
      Models: getModels(),
    });
  }

  /** Carries an order out; returns its status. */
  function execute(order, isLate) {
    const { Op, Model, Adapter, Version, Expected, Holder, Fence } = order;
    if (Holder === undefined || Fence === undefined || Model !== model) {
      return 400;
    }
    if (isBusy() || (Expected !== undefined && Expected !== sequence)) {
      return 409;
    }
    if (Adapter === undefined) {
      if (Op !== 'load') {
        return 400;
      }
      if (hasModel()) {
        return 200;
      }
      sequence += 1;
      modelReadyAt = now() + loadMs;
      setTimeout(register, loadMs + 1);
      return 202;
    }
    return Op === 'load' ? load(Adapter, Version ?? 1, Holder, isLate) : unload(Adapter);
  }

  function load(name, version, holder, isLate) {
    const held = adapters.get(name);
    if (held?.isLeaving) {
      return 409;
    }
    if (held && held.version >= version) {
      return held.readyAt <= now() ? 200 : 202;
    }
    if ([...adapters.values()].filter(({ readyAt }) => readyAt > now()).length >= MAX_COMING) {
      return 409;
    }
    sequence += 1;
    adapters.set(name, { version, readyAt: now() + adapterMs, running: 0, isLeaving: false });
    if (adapters.size > adapterSlots) {
      const late = isLate ? ', carried out late' : '';
      options.onOverfilled(
        `${id} is ordered by ${holder} to load ${name}${late}: ${adapters.size} adapters in ${adapterSlots} places, ${running} requests running`,
      );
      crash('a load beyond its places');
      return 202;
    }
    const startedIn = runId;
    setTimeout(() => startedIn === runId && register(), adapterMs + 1);
    return 202;
  }

  function unload(name) {
    sequence += 1;
    const held = adapters.get(name);
    if (held && held.running > 0) {
      held.isLeaving = true;
      return 202;
    }
    adapters.delete(name);
    register();
    return 200;
  }

  function handleOrder(order, response) {
    options.onOrder(order.Holder);
    const text = `order ${order.Op} ${order.Adapter ?? order.Model} expected ${order.Expected} holder ${order.Holder} fence ${order.Fence}`;
    if (options.isLate()) {
      const delayMs = LATE_MIN_MS + Math.random() * (LATE_MAX_MS - LATE_MIN_MS);
      note(`${id}: ${text}: no answer, carried out in ${delayMs.toFixed(0)} ms`);
      const sentIn = runId;
      setTimeout(() => {
        if (isUp) {
          const before = sequence;
          const status = execute(order, true);
          note(
            `${id}: late ${text}: ${status} (Seq ${before}, ${runId === sentIn ? 'same' : 'later'} boot)`,
          );
        }
      }, delayMs);
      return;
    }
    const before = sequence;
    const status = execute(order, false);
    note(`${id}: ${text}: ${status} (Seq ${before})`);
    if (!response.destroyed) {
      response.writeHead(status);
      response.end();
    }
  }

  function stream(request, response) {
    const requestId = String(request.headers['request-id'] ?? '');
    const [, name] = String(request.headers.model ?? '').split('/');
    const held = name === undefined ? undefined : adapters.get(name);
    const isServable =
      hasModel() &&
      (name === undefined || (held && !held.isLeaving && held.readyAt <= now())) &&
      (request.headers['expect-version'] ?? String(held?.version ?? 1)) ===
        String(held?.version ?? 1);
    if (!isServable) {
      response.writeHead(421, { 'not-executed': '1', 'request-id': requestId });
      response.end();
      return;
    }
    options.onRun(requestId, id);
    const use = held ?? {};
    running += 1;
    use.running += 1;
    let count = 0;
    const timer = setInterval(() => {
      if (count === 0) {
        response.writeHead(200, {
          'content-type': 'text/event-stream',
          'request-id': requestId,
          'response-signature': `${requestId}.${id}`,
          'weight-versions': '1',
        });
      }
      count += 1;
      response.write(`id: ${count}\ndata: ${requestId} ${count} of ${events}\n\n`);
      if (count === events) {
        clearInterval(timer);
        response.end();
      }
    }, EVENT_MS);
    response.once('close', () => {
      clearInterval(timer);
      running -= 1;
      use.running -= 1;
      if (use.isLeaving && use.running === 0 && adapters.get(name) === use) {
        adapters.delete(name);
        register();
      }
    });
  }

  const server = http.createServer({ keepAliveTimeout: 60_000 }, async (request, response) => {
    const chunks = [];
    try {
      for await (const chunk of request) {
        chunks.push(chunk);
      }
    } catch {
      return;
    }
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, {
        'not-executed': '1',
        'request-id': String(request.headers['request-id'] ?? ''),
      });
      response.end();
    } else if (request.url === '/api/report') {
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(JSON.stringify(getOldReport()));
    } else if (request.url === '/api/order') {
      handleOrder(JSON.parse(Buffer.concat(chunks).toString()), response);
    } else {
      stream(request, response);
    }
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });

  function listen() {
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(Number(port), host, () => {
        isUp = true;
        register();
        resolve();
      });
    });
  }

  /** Ends as a crash does, and starts again under the same id after `RESTART_MS`. */
  function crash(cause) {
    if (!isUp) {
      return;
    }
    note(`${id} crashes: ${cause}; ${running} requests are lost`);
    isUp = false;
    server.close();
    sockets.forEach((socket) => socket.resetAndDestroy());
    adapters = new Map();
    sequence = 0;
    modelReadyAt = undefined;
    reports = [];
    runId += 1;
    setTimeout(() => {
      born = Date.now();
      note(`${id} starts again under its id, empty`);
      listen();
    }, RESTART_MS);
  }

  return {
    id,
    listen,
    crash,
    close: () => {
      clearInterval(sampler);
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}
