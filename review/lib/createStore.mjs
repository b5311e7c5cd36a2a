import http from 'node:http';

/**
 * Creates the platform's key-value service as PROTOCOL.md describes it: revisions, leases, watches
 * and conditional transactions.
 */
export default function createStore(address) {
  const items = new Map();
  const leases = new Map();
  let history = [];
  let revision = 100;
  let nextLease = 1;
  let waiters = [];

  function write({ puts = [], removes = [] }) {
    revision += 1;
    puts.forEach(({ Key, Value, Lease = 0 }) => {
      const CreateRevision = items.get(Key)?.CreateRevision ?? revision;
      const item = { Key, Value, Rev: revision, CreateRevision, Lease };
      items.set(Key, item);
      history.push(item);
    });
    removes
      .filter((key) => items.delete(key))
      .forEach((key) => history.push({ Key: key, Rev: revision, Tombstone: true }));
    const notified = waiters;
    waiters = [];
    notified.forEach((wake) => wake());
    return revision;
  }

  function put(key, value) {
    const Value = Buffer.from(JSON.stringify(value)).toString('base64');
    return write({ puts: [{ Key: key, Value }] });
  }

  function endLease(id) {
    if (leases.delete(id)) {
      const removes = [...items.values()].filter(({ Lease }) => Lease === id);
      if (removes.length > 0) {
        write({ removes: removes.map(({ Key }) => Key) });
      }
    }
  }

  const expiry = setInterval(() => {
    const now = performance.now();
    [...leases].filter(([, lease]) => lease.endsAt <= now).forEach(([id]) => endLease(id));
  }, 50);

  function commit({ Expected = [], Puts = [], Remove = [] }) {
    if (Puts.some(({ Lease = 0 }) => Lease !== 0 && !leases.has(Lease))) {
      return [404, {}];
    }
    if (Expected.some(({ Key, Rev }) => (items.get(Key)?.Rev ?? 0) !== Rev)) {
      return [412, { items: Expected.flatMap(({ Key }) => items.get(Key) ?? []) }];
    }
    return [200, { Rev: write({ puts: Puts, removes: Remove }) }];
  }

  async function watch(query) {
    const prefix = query.get('PathPrefix') ?? '';
    const after = Number(query.get('after'));
    const until = performance.now() + Number(query.get('WaitMs') ?? 0);
    for (;;) {
      const events = history.filter(({ Key, Rev }) => Rev > after && Key.startsWith(prefix));
      const leftMs = until - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        return [200, { events, StoreRevision: revision }];
      }
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, leftMs);
        waiters.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
  }

  async function handle(method, url, body) {
    const { pathname, searchParams: query } = url;
    const id = Number(pathname.split('/').at(-1));
    if (pathname === '/api/kv-key') {
      const item = items.get(query.get('Key') ?? '');
      return item ? [200, { ...item, StoreRevision: revision }] : [404, {}];
    }
    if (pathname === '/api/kv-range') {
      const all = [...items.values()]
        .filter(({ Key }) => Key.startsWith(query.get('PathPrefix') ?? ''))
        .filter(({ Key }) => Key > (query.get('after') ?? ''))
        .sort((left, right) => (left.Key < right.Key ? -1 : 1));
      const page = all.slice(0, 500);
      return [200, { items: page, MorePages: all.length > 500, StoreRevision: revision }];
    }
    if (pathname === '/api/kv-watch') {
      return watch(query);
    }
    if (pathname === '/api/kv-txn') {
      return commit(body);
    }
    if (pathname === '/api/kv-lease') {
      const lease = nextLease;
      nextLease += 1;
      leases.set(lease, { ttlMs: body.TtlMs, endsAt: performance.now() + body.TtlMs });
      return [200, { Lease: lease, TtlMs: body.TtlMs }];
    }
    if (pathname.startsWith('/api/kv-keep/')) {
      const lease = leases.get(id);
      if (!lease) {
        return [404, {}];
      }
      lease.endsAt = performance.now() + lease.ttlMs;
      return [200, { TtlMs: lease.ttlMs }];
    }
    if (method === 'DELETE' && pathname.startsWith('/api/kv-lease-end/')) {
      endLease(id);
      return [200, {}];
    }
    return [400, {}];
  }

  const server = http.createServer({ keepAliveTimeout: 60_000 }, async (request, response) => {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString();
    const url = new URL(request.url, 'http://store');
    const [status, body] = await handle(request.method, url, text === '' ? {} : JSON.parse(text));
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  });

  return {
    listen: () =>
      new Promise((resolve, reject) => {
        const [host, port] = address.split(':');
        server.once('error', reject);
        server.listen(Number(port), host, resolve);
      }),
    put,
    remove: (key) => write({ removes: [key] }),
    tryGet: (key) => {
      const item = items.get(key);
      return item && JSON.parse(Buffer.from(item.Value, 'base64').toString());
    },
    close: () => {
      clearInterval(expiry);
      server.close();
      server.closeAllConnections();
    },
  };
}
