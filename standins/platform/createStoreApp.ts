import { Hono } from 'hono';
import { z } from 'zod';
import type Items from './Items';
import type StoreFault from './StoreFault';

const PAGE = 500;
const UNAVAILABLE = 503;
const LATE_WRITE_MS = 1500;
/** Longer than any client waits. */
const NEVER_MS = 60_000;

const Transaction = z.object({
  Expected: z.array(z.object({ Key: z.string(), Rev: z.number() })).default([]),
  Puts: z
    .array(z.object({ Key: z.string(), Value: z.string(), Lease: z.number().default(0) }))
    .default([]),
  Remove: z.array(z.string()).default([]),
});

type Item = ReturnType<Items['list']>[number];

/** The store's calls over HTTP, with faults that can be switched on. */
export default function createStoreApp(items: Items, getFault: () => StoreFault) {
  const app = new Hono();

  app.use(async (context, next) => {
    const fault = getFault();
    if (fault === 'down') {
      return context.body(null, UNAVAILABLE);
    }
    if (fault === 'silent') {
      await wait(NEVER_MS);
    }
    if (fault === 'slow') {
      await wait(400);
    }
    const isWrite = context.req.method === 'POST' && context.req.path.endsWith('kv-txn');
    if (fault === 'late' && isWrite) {
      // The answer never comes; the write is done later if its condition still holds.
      const body: unknown = await context.req.json();
      setTimeout(() => commit(body), LATE_WRITE_MS);
      await wait(NEVER_MS);
    }
    await next();
    if (fault === 'lost' && isWrite) {
      await wait(NEVER_MS);
    }
    return undefined;
  });

  app.get('/api/kv-key', (context) => {
    const item = items.tryGet(context.req.query('Key') ?? '');
    const found = item && { ...toWire(item), StoreRevision: items.getRevision() };
    return found ? context.json(found) : context.body(null, 404);
  });

  app.get('/api/kv-range', (context) => {
    const after = context.req.query('after') ?? '';
    const all = items
      .list(context.req.query('PathPrefix') ?? '')
      .filter((item) => item.key > after);
    return context.json({
      items: all.slice(0, PAGE).map(toWire),
      MorePages: all.length > PAGE,
      StoreRevision: items.getRevision(),
    });
  });

  app.get('/api/kv-watch', async (context) => {
    const prefix = context.req.query('PathPrefix') ?? '';
    const after = Number(context.req.query('after'));
    const until = Date.now() + Number(context.req.query('WaitMs') ?? 0);
    for (;;) {
      const changes = items.tryGetChanges(prefix, after);
      if (!changes) {
        return context.body(null, 410);
      }
      if (changes.length > 0 || Date.now() >= until) {
        const events = changes.map(({ key, revision, item }) =>
          item ? toWire(item) : { Key: key, Rev: revision, Tombstone: true },
        );
        return context.json({ events, StoreRevision: items.getRevision() });
      }
      await Promise.race([
        wait(until - Date.now()),
        new Promise<void>((resolve) => {
          items.onChange(resolve);
        }),
      ]);
    }
  });

  app.post('/api/kv-txn', async (context) => {
    const { status, body } = commit(await context.req.json());
    return context.json(body, status);
  });

  app.post('/api/kv-lease', async (context) => {
    const { TtlMs } = z.object({ TtlMs: z.number() }).parse(await context.req.json());
    return context.json({ Lease: items.grant(Date.now(), TtlMs), TtlMs });
  });
  app.post('/api/kv-keep/:id', (context) =>
    context.body(null, items.keep(Date.now(), Number(context.req.param('id'))) ? 200 : 404),
  );
  app.delete('/api/kv-lease-end/:id', (context) => {
    items.end(Number(context.req.param('id')));
    return context.body(null, 200);
  });

  function commit(body: unknown) {
    const { Expected, Puts, Remove } = Transaction.parse(body);
    if (Puts.some(({ Lease }) => Lease !== 0 && !items.hasLease(Lease))) {
      return { status: 404 as const, body: {} };
    }
    const expected = Expected.map(({ Key, Rev }) => ({ key: Key, revision: Rev }));
    const puts = Puts.map(({ Key, Value, Lease }) => ({ key: Key, value: Value, lease: Lease }));
    const revision = items.writeIf(expected, { puts, removes: Remove });
    if (revision === undefined) {
      const current = expected.flatMap(({ key }) => items.tryGet(key) ?? []);
      return { status: 412 as const, body: { items: current.map(toWire) } };
    }
    return { status: 200 as const, body: { Rev: revision } };
  }

  return app;
}

function toWire(item: Item) {
  return {
    Key: item.key,
    Value: item.value,
    Rev: item.revision,
    CreateRevision: item.createdRevision,
    Lease: item.lease,
  };
}

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, delayMs));
  });
}
