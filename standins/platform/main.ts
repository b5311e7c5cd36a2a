/**
 * Stand-in for the users' platform in tests and experiments: the key-value service, model servers
 * and plain servers in one process, on the addresses in the JSON file `--config`. `POST /faults` on
 * the control address sets faults; `GET /ledger` returns what the servers recorded.
 */
import { readFileSync } from 'node:fs';
import type http from 'node:http';
import { createAdaptorServer } from '@hono/node-server';
import { Hono } from 'hono';
import readArguments from '../readArguments';
import createKeyValueStore from './createKeyValueStore';
import createServerNotices from './createServerNotices';
import createModelServer from './createModelServer';
import createPlainServer from './createPlainServer';
import createKeyValueApp from './createKeyValueApp';
import type Layout from './Layout';
import type ExecutionRecord from './ExecutionRecord';
import type ServerFault from './ServerFault';
import type KeyValueFault from './KeyValueFault';

const LEASE_CHECK_MS = 100;
const COPY_INTERVAL_MS = 500;
const MAX_COPIES = 24;
/** Time after a restore at which operators and servers write again what the store has lost. */
const REWRITE_MS = 800;

const { config } = readArguments({ config: '' });

const layout = JSON.parse(readFileSync(config, 'utf8')) as Layout;
const store = createKeyValueStore();
const record: ExecutionRecord = {
  runs: {},
  faults: [],
  crashes: [],
  crashingArrivals: [],
  limits: [],
  limitedArrivals: [],
  notices: [],
  noticedArrivals: [],
  falls: [],
  orders: {},
};
const versions = new Map<string, number>();
const written = new Map<string, unknown>();
const faults: { store: KeyValueFault; servers: Record<string, ServerFault> } = {
  store: 'none',
  servers: {},
};
const bootTimes = new Map(layout.servers.map(({ id }) => [id, Date.now()]));
const softwareVersions = new Map<string, string>();
const crashes = new Map<string, () => void>();
/** Returns the models that a model server holds. */
const modelsOf = new Map<string, () => unknown>();
const notices = createServerNotices(record, { getBootTime: (server) => bootTimes.get(server) });
/** Servers whose registrations say that they leave. */
const registeredLeaving = new Set<string>();

layout.servers.forEach((server) => {
  const getFault = () => faults.servers[server.id] ?? 'none';
  const recordArrival = (id: string) => notices.recordArrival(server.id, id);
  if (server.kind === 'plain') {
    const onRestart = () => {
      handleRestart(server.id);
      register(server, undefined);
    };
    const plainServer = createPlainServer(record, {
      id: server.id,
      getFault,
      recordArrival,
      isBrittle: () => notices.isBrittle(server.id),
      isEndedByRefusal: () => notices.isEndedByRefusal(server.id),
      onRestart,
    });
    crashes.set(server.id, plainServer.crash);
    listen(plainServer.server, server.listen);
    register(server, undefined);
    return;
  }
  const modelServer = createModelServer(record, {
    id: server.id,
    model: layout.model,
    slots: layout.slots,
    adapterSlots: layout.places,
    getSoftwareVersion: () => getSoftwareVersion(server.id),
    getFault,
    recordArrival,
    getNewestVersion: (adapter) => versions.get(adapter) ?? 1,
    onChange: () => register(server, modelServer.getModels()),
    onRestart: () => {
      handleRestart(server.id);
      register(server, modelServer.getModels());
    },
  });
  crashes.set(server.id, modelServer.crash);
  modelsOf.set(server.id, modelServer.getModels);
  listen(modelServer.server, server.listen);
  register(server, modelServer.getModels());
});

let isRestoring = false;
const keyValueApp = createKeyValueApp(store, () => (isRestoring ? 'down' : faults.store));
listen(createAdaptorServer({ fetch: keyValueApp.fetch }) as http.Server, layout.store);
setInterval(
  () => faults.store !== 'down' && !isRestoring && store.expire(Date.now()),
  LEASE_CHECK_MS,
);
/** Copies of the store, the oldest first. */
const copies: (() => void)[] = [];
setInterval(() => {
  if (!isRestoring) {
    copies.push(store.createCopy());
    copies.splice(0, copies.length - MAX_COPIES);
  }
}, COPY_INTERVAL_MS);

const control = new Hono();
control.get('/ledger', (context) => context.json(record));
control.post('/faults', async (context) =>
  context.json(Object.assign(faults, await context.req.json())),
);
control.post('/limits', async (context) => {
  const changed = await context.req.json<Record<string, number | null>>();
  Object.entries(changed).forEach(([id, perSecond]) => notices.setLimit(id, perSecond));
  return context.body(null, 200);
});
/** Lets servers state that they leave; their registrations say so `recordLagMs` later, or never. */
control.post('/leave', async (context) => {
  const { ids, recordLagMs } = await context.req.json<{
    ids: string[];
    recordLagMs: number | null;
  }>();
  ids.forEach((id) => {
    notices.leave(id);
    if (recordLagMs !== null) {
      setTimeout(() => registerLeaving(id), recordLagMs);
    }
  });
  return context.body(null, 200);
});
/** Lets plain servers work slowly, and end if they have to turn away more than some requests a second. */
control.post('/brittle', async (context) => {
  const { ids, maxTurnedAway } = await context.req.json<{ ids: string[]; maxTurnedAway: number }>();
  ids.forEach((id) => notices.setBrittle(id, maxTurnedAway));
  return context.body(null, 200);
});
/** Lets servers turn requests away for `forMs`, and state that they want none for `seconds`. */
control.post('/rest', async (context) => {
  const { ids, seconds, forMs } = await context.req.json<{
    ids: string[];
    seconds: number;
    forMs: number;
  }>();
  ids.forEach((id) => notices.turnAway(id, seconds, forMs));
  return context.body(null, 200);
});
control.post('/crash', async (context) => {
  const { ids } = await context.req.json<{ ids: string[] }>();
  ids.forEach((id) => crashes.get(id)?.());
  return context.body(null, 200);
});
/** Restarts servers with another version of their software. */
control.post('/release', async (context) => {
  const { ids, softwareVersion } = await context.req.json<{
    ids: string[];
    softwareVersion: string;
  }>();
  ids.forEach((id) => {
    crashes.get(id)?.();
    softwareVersions.set(id, softwareVersion);
  });
  return context.body(null, 200);
});
control.post('/forget', (context) => {
  store.compactHistory();
  return context.body(null, 200);
});
control.post('/restore', async (context) => {
  const { awayMs, olderByMs } = await context.req.json<{ awayMs: number; olderByMs: number }>();
  const restore = copies[Math.max(0, copies.length - Math.ceil(olderByMs / COPY_INTERVAL_MS))];
  isRestoring = true;
  setTimeout(() => {
    restore();
    isRestoring = false;
    setTimeout(() => written.forEach((value, key) => put(key, value)), REWRITE_MS);
  }, awayMs);
  return context.body(null, 200);
});
control.post('/manifest', async (context) => {
  const manifest: unknown = await context.req.json();
  return context.json({ revision: put('op/config', manifest) });
});
control.post('/versions', async (context) => {
  const { adapter, version } = await context.req.json<{ adapter: string; version: number }>();
  versions.set(adapter, version);
  const value = { Model: layout.model, Adapter: adapter, Version: version };
  return context.json({ revision: put(`op/version/${layout.model}.${adapter}`, value) });
});
listen(createAdaptorServer({ fetch: control.fetch }) as http.Server, layout.control);
process.on('SIGTERM', () => process.exit(0));

function getSoftwareVersion(server: string): string {
  return softwareVersions.get(server) ?? 'v1';
}

function handleRestart(server: string): void {
  notices.reset(server);
  registeredLeaving.delete(server);
  bootTimes.set(server, Date.now());
}

function register(server: Layout['servers'][number], models: unknown): void {
  put(`servers/${server.id}`, {
    Backend: server.service,
    Addr: server.announced,
    Zone: server.dataCentre,
    Version: getSoftwareVersion(server.id),
    Slots: server.kind === 'plain' ? 6 : layout.slots,
    State: registeredLeaving.has(server.id) ? 'draining' : 'ready',
    Seq: 1,
    born: bootTimes.get(server.id),
    ...(models !== undefined && { Models: models }),
  });
}

function registerLeaving(id: string): void {
  if (notices.isLeaving(id)) {
    registeredLeaving.add(id);
    const server = layout.servers.find((candidate) => candidate.id === id)!;
    register(server, modelsOf.get(id)?.());
  }
}

/** Writes what operators and servers store, which they write again after a restore. */
function put(key: string, value: unknown): number {
  written.set(key, value);
  const text = Buffer.from(JSON.stringify(value)).toString('base64');
  return store.write({ puts: [{ key, value: text, lease: 0 }], removes: [] });
}

function listen(server: http.Server, at: string): void {
  const [host, port] = at.split(':');
  server.listen(Number(port), host);
}
