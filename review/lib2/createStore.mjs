import http from 'node:http';

const MAX_ITEMS = 500;
const EXPIRY_CHECK_MS = 50;

/**
 * Creates a stand-in of the platform's metadata store: items with one revision counter, leases, reads by
 * page, watches and transactions, as the page on the protocol describes them.
 */
export default function createStore() {
  const items = new Map();
  const leases = new Map();
  const history = [];
  const watchers = new Set();
  let revision = 1;
  let nextLease = 1;

  function commit(puts, removes) {
    revision += 1;
    puts.forEach(({ Key, Value, Lease = 0 }) => {
      const item = {
        Key,
        Value,
        Rev: revision,
        CreateRevision: items.get(Key)?.CreateRevision ?? revision,
        Lease: Number(Lease),
      };
      items.set(Key, item);
      history.push(item);
    });
    removes.forEach((Key) => {
      if (items.delete(Key)) {
        history.push({ Key, Rev: revision, Tombstone: true });
      }
    });
    [...watchers].forEach((notify) => notify());
    return revision;
  }

  function endLease(id) {
    if (!leases.delete(id)) {
      return false;
    }
    const keys = [...items.values()].filter(({ Lease }) => Lease === id).map(({ Key }) => Key);
    if (keys.length > 0) {
      commit([], keys);
    }
    return true;
  }

  const timer = setInterval(() => {
    const now = performance.now();
    leases.forEach(({ endsAt }, id) => {
      if (endsAt <= now) {
        endLease(id);
      }
    });
  }, EXPIRY_CHECK_MS);

  function getEvents(prefix, after) {
    return history.filter(({ Key, Rev }) => Rev > after && Key.startsWith(prefix));
  }

  function handleRange(query) {
    const prefix = query.get('PathPrefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...items.values()]
      .filter(({ Key }) => Key.startsWith(prefix) && Key > after)
      .sort((left, right) => (left.Key < right.Key ? -1 : 1));
    return {
      status: 200,
      body: {
        items: found.slice(0, MAX_ITEMS),
        MorePages: found.length > MAX_ITEMS,
        StoreRevision: revision,
      },
    };
  }

  function handleWatch(query) {
    const prefix = query.get('PathPrefix') ?? '';
    const after = Number(query.get('after') ?? 0);
    const waitMs = Number(query.get('WaitMs') ?? 0);
    const getAnswer = () => ({
      status: 200,
      body: { events: getEvents(prefix, after), StoreRevision: revision },
    });
    if (waitMs <= 0 || getEvents(prefix, after).length > 0) {
      return getAnswer();
    }
    return new Promise((resolve) => {
      const end = () => {
        watchers.delete(check);
        clearTimeout(timeout);
        resolve(getAnswer());
      };
      const check = () => {
        if (getEvents(prefix, after).length > 0) {
          end();
        }
      };
      const timeout = setTimeout(end, waitMs);
      watchers.add(check);
    });
  }

  function handleTransaction({ Expected = [], Puts = [], Remove = [] }) {
    const isMet = Expected.every(({ Key, Rev }) => (items.get(Key)?.Rev ?? 0) === Rev);
    if (!isMet) {
      const current = Expected.map(({ Key }) => items.get(Key) ?? { Key, Rev: 0 });
      return { status: 412, body: { items: current } };
    }
    if (Puts.some(({ Lease = 0 }) => Number(Lease) !== 0 && !leases.has(Number(Lease)))) {
      return { status: 404, body: {} };
    }
    return { status: 200, body: { Rev: commit(Puts, Remove) } };
  }

  function handleCall(method, path, query, body) {
    const id = Number(path.split('/').at(-1));
    if (path === '/api/kv-range') {
      return handleRange(query);
    }
    if (path === '/api/kv-watch') {
      return handleWatch(query);
    }
    if (path === '/api/kv-txn') {
      return handleTransaction(body);
    }
    if (path === '/api/kv-lease') {
      const ttlMs = body.TtlMs;
      const lease = nextLease;
      nextLease += 1;
      leases.set(lease, { ttlMs, endsAt: performance.now() + ttlMs });
      return { status: 200, body: { Lease: lease, TtlMs: ttlMs } };
    }
    if (path.startsWith('/api/kv-keep/')) {
      const lease = leases.get(id);
      if (!lease) {
        return { status: 404, body: {} };
      }
      lease.endsAt = performance.now() + lease.ttlMs;
      return { status: 200, body: { TtlMs: lease.ttlMs } };
    }
    if (path.startsWith('/api/kv-lease-end/') && method === 'DELETE') {
      return { status: endLease(id) ? 200 : 404, body: {} };
    }
    return { status: 404, body: {} };
  }

  const server = http.createServer(async (request, response) => {
    const parts = [];
    for await (const part of request) {
      parts.push(part);
    }
    const url = new URL(request.url, 'http://store');
    const text = Buffer.concat(parts).toString();
    const answer = await handleCall(
      request.method,
      url.pathname,
      url.searchParams,
      text === '' ? {} : JSON.parse(text),
    );
    response.writeHead(answer.status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(answer.body));
  });

  return {
    server,
    /** Writes a record as the operator or a server does. */
    put: (key, value) =>
      commit([{ Key: key, Value: Buffer.from(JSON.stringify(value)).toString('base64') }], []),
    remove: (key) => commit([], [key]),
    tryGet: (key) => items.get(key),
    getKeys: () => [...items.keys()],
    close: () => {
      clearInterval(timer);
      server.closeAllConnections();
      server.close();
    },
  };
}
