/**
 * Stand-in of the users' platform for tests and experiments: the store, model servers and plain
 * servers in one process, on the addresses that `--config` (JSON) names. Faults are switched by
 * `POST /faults` on the control address; `GET /ledger` tells what the servers have seen.
 */
import { readFileSync } from 'node:fs';
import type http from 'node:http';
import { createAdaptorServer } from '@hono/node-server';
import { Hono } from 'hono';
import readArguments from '../readArguments';
import createItems from './createItems';
import createModelServer from './createModelServer';
import createPlainServer from './createPlainServer';
import createStoreApp from './createStoreApp';
import type Layout from './Layout';
import type Ledger from './Ledger';
import type ServerFault from './ServerFault';
import type StoreFault from './StoreFault';

const EXPIRY_MS = 100;

const { config } = readArguments({ config: '' });

const layout = JSON.parse(readFileSync(config, 'utf8')) as Layout;
const items = createItems();
const ledger: Ledger = { runs: {}, faults: [], orders: {} };
const versions = new Map<string, number>();
const faults: { store: StoreFault; servers: Record<string, ServerFault> } = {
  store: 'none',
  servers: {},
};
const born = Date.now();

layout.servers.forEach((server) => {
  const getFault = () => faults.servers[server.id] ?? 'none';
  if (server.kind === 'plain') {
    listen(createPlainServer(ledger, { id: server.id, getFault }), server.listen);
    register(server, undefined);
    return;
  }
  const model = createModelServer(ledger, {
    id: server.id,
    model: layout.model,
    slots: layout.slots,
    places: layout.places,
    getFault,
    getVersion: (adapter) => versions.get(adapter) ?? 1,
    onChange: () => register(server, model.getModels()),
  });
  listen(model.server, server.listen);
  register(server, model.getModels());
});

const store = createStoreApp(items, () => faults.store);
listen(createAdaptorServer({ fetch: store.fetch }) as http.Server, layout.store);
setInterval(() => faults.store !== 'down' && items.expire(Date.now()), EXPIRY_MS);

const control = new Hono();
control.get('/ledger', (context) => context.json(ledger));
control.post('/faults', async (context) =>
  context.json(Object.assign(faults, await context.req.json())),
);
control.post('/forget', (context) => {
  items.forgetHistory();
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

function register(server: Layout['servers'][number], models: unknown): void {
  put(`servers/${server.id}`, {
    Backend: server.service,
    Addr: server.announced,
    Zone: server.dataCentre,
    Version: '1',
    Slots: server.kind === 'plain' ? 6 : layout.slots,
    State: 'ready',
    Seq: 1,
    born,
    ...(models !== undefined && { Models: models }),
  });
}

function put(key: string, value: unknown): number {
  const text = Buffer.from(JSON.stringify(value)).toString('base64');
  return items.write({ puts: [{ key, value: text, lease: 0 }], removes: [] });
}

function listen(server: http.Server, at: string): void {
  const [host, port] = at.split(':');
  server.listen(Number(port), host);
}
