import { Hono } from 'hono';
import { z } from 'zod';
import type KeyValueStore from './KeyValueStore';
import type KeyValueFault from './KeyValueFault';

const PAGE_SIZE = 500;
const UNAVAILABLE_STATUS = 503;
const LATE_WRITE_MS = 1500;
/** Longer than the timeout of any client. */
const NO_ANSWER_MS = 60_000;

const Transaction = z.object({
  Expected: z.array(z.object({ Key: z.string(), Rev: z.number() })).default([]),
  Puts: z
    .array(z.object({ Key: z.string(), Value: z.string(), Lease: z.number().default(0) }))
    .default([]),
  Remove: z.array(z.string()).default([]),
});

type Entry = ReturnType<KeyValueStore['getEntries']>[number];

/** Creates the HTTP interface of the key-value service, with switchable faults. */
export default function createKeyValueApp(store: KeyValueStore, getFault: () => KeyValueFault) {
  const app = new Hono();

  app.use(async (context, next) => {
    await next();
    context.header('Store-Era', String(store.getGeneration()));
  });

  app.use(async (context, next) => {
    const fault = getFault();
    if (fault === 'down') {
      return context.body(null, UNAVAILABLE_STATUS);
    }
    if (fault === 'silent') {
      await wait(NO_ANSWER_MS);
    }
    if (fault === 'slow') {
      await wait(400);
    }
    const isWrite = context.req.method === 'POST' && context.req.path.endsWith('kv-txn');
    if (fault === 'late' && isWrite) {
      // No response is sent; the write is applied later if its condition still holds.
      const body: unknown = await context.req.json();
      setTimeout(() => commit(body), LATE_WRITE_MS);
      await wait(NO_ANSWER_MS);
    }
    await next();
    if (fault === 'lost' && isWrite) {
      await wait(NO_ANSWER_MS);
    }
    return undefined;
  });

  app.get('/api/kv-key', (context) => {
    const entry = store.tryGet(context.req.query('Key') ?? '');
    const found = entry && { ...encodeEntry(entry), StoreRevision: store.getRevision() };
    return found ? context.json(found) : context.body(null, 404);
  });

  app.get('/api/kv-range', (context) => {
    const after = context.req.query('after') ?? '';
    const all = store
      .getEntries(context.req.query('PathPrefix') ?? '')
      .filter((entry) => entry.key > after);
    return context.json({
      items: all.slice(0, PAGE_SIZE).map(encodeEntry),
      MorePages: all.length > PAGE_SIZE,
      StoreRevision: store.getRevision(),
    });
  });

  app.get('/api/kv-watch', async (context) => {
    const prefix = context.req.query('PathPrefix') ?? '';
    const after = Number(context.req.query('after'));
    const until = Date.now() + Number(context.req.query('WaitMs') ?? 0);
    for (;;) {
      const changes = store.tryGetChanges(prefix, after);
      if (!changes) {
        return context.body(null, 410);
      }
      if (changes.length > 0 || Date.now() >= until) {
        const events = changes.map(({ key, revision, entry: entry }) =>
          entry ? encodeEntry(entry) : { Key: key, Rev: revision, Tombstone: true },
        );
        return context.json({ events, StoreRevision: store.getRevision() });
      }
      await Promise.race([
        wait(until - Date.now()),
        new Promise<void>((resolve) => {
          store.onNextChange(resolve);
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
    return context.json({ Lease: store.grantLease(Date.now(), TtlMs), TtlMs });
  });
  app.post('/api/kv-keep/:id', (context) =>
    context.body(null, store.renewLease(Date.now(), Number(context.req.param('id'))) ? 200 : 404),
  );
  app.delete('/api/kv-lease-end/:id', (context) => {
    store.revokeLease(Number(context.req.param('id')));
    return context.body(null, 200);
  });

  function commit(body: unknown) {
    const { Expected, Puts, Remove } = Transaction.parse(body);
    if (Puts.some(({ Lease }) => Lease !== 0 && !store.hasLease(Lease))) {
      return { status: 404 as const, body: {} };
    }
    const expected = Expected.map(({ Key, Rev }) => ({ key: Key, revision: Rev }));
    const puts = Puts.map(({ Key, Value, Lease }) => ({ key: Key, value: Value, lease: Lease }));
    const revision = store.writeIf(expected, { puts, removes: Remove });
    if (revision === undefined) {
      const current = expected.flatMap(({ key }) => store.tryGet(key) ?? []);
      return { status: 412 as const, body: { items: current.map(encodeEntry) } };
    }
    return { status: 200 as const, body: { Rev: revision } };
  }

  return app;
}

function encodeEntry(entry: Entry) {
  return {
    Key: entry.key,
    Value: entry.value,
    Rev: entry.revision,
    CreateRevision: entry.createdRevision,
    Lease: entry.lease,
  };
}

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, delayMs));
  });
}
