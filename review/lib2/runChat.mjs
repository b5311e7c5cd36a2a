import { randomUUID } from 'node:crypto';
import { writeFile } from 'node:fs/promises';
import http from 'node:http';
import createDeployment, { delay, listen } from './createDeployment.mjs';
import createLink from './createLink.mjs';
import createModelServer from './createModelServer.mjs';

const VMS = 4;
const SERVERS = 8;
const PLACES = 6;
const SLOTS = 16;
const ADAPTERS = 200;
const MODEL = 'base';
const SERVICE = 'models';
const HOST = 'chat.example';
const TIMEOUT_MS = 5000;
const REQUEST_INTERVAL_MS = 12;
const REGISTER_INTERVAL_MS = 1200;
const WARM_UP_MS = 5000;
const LEASE_MS = 3000;
/** Orders that arrive within this time after a link has healed don't count. */
const THAW_MS = 300;
const GRACE_S = 4;

/**
 * Runs a small deployment with model servers under a load of chat requests for many adapters, judges the
 * orders that arrive at each server by the rule ONE, and writes the record. `play` brings the disruption
 * about. Returns the exit code of the script.
 */
export default async function runChat({ recordFile, createLoss, play }) {
  const lines = [];
  const startedAt = performance.now();
  const record = (text) => lines.push(`${Math.round(performance.now() - startedAt)} ms ${text}`);
  const counts = { orders: 0, requests: 0, answered: 0, refused: 0, other: 0 };
  const faults = [];
  const lastOrders = new Map();
  let healedAt = -Infinity;

  /** Judges an order that has arrived at a server. */
  function judge({ server, order, status }) {
    counts.orders += 1;
    const { Holder: holder, Fence: fence } = order;
    const now = performance.now();
    if (now - healedAt < THAW_MS) {
      return;
    }
    const last = lastOrders.get(server);
    const text =
      `${server}: ${order.Op} ${order.Adapter} from ${holder}, fencing token ${fence}, ` +
      `answered ${status}`;
    if (!last || last.holder !== holder || last.fence !== fence) {
      record(`order at ${text}`);
    }
    if (last && fence < last.highest) {
      faults.push('lower fencing token');
      record(
        `ONE broken: lower fencing token after ${last.highest}, ` +
          `${Math.round(now - last.at)} ms after the last order of ${last.holder}: ${text}`,
      );
    }
    if (last && holder !== last.holder && now - last.at < LEASE_MS) {
      faults.push('turns');
      record(
        `ONE broken: another holder ${Math.round(now - last.at)} ms after ${last.holder}: ${text}`,
      );
    }
    const highest = Math.max(fence, last?.highest ?? 0);
    lastOrders.set(server, { holder, fence, highest, at: now });
  }

  function sendRequest(agent, vm, port) {
    const adapter = `a${1 + Math.floor(Math.random() ** 2 * ADAPTERS)}`;
    const id = randomUUID().replaceAll('-', '').slice(0, 16);
    counts.requests += 1;
    const count = (status) => {
      const kinds = { 200: 'answered', 503: 'refused' };
      counts[kinds[status] ?? 'other'] += 1;
    };
    const request = http.request(
      {
        agent,
        host: vm.ip,
        port,
        method: 'POST',
        path: '/chat/x',
        headers: {
          Host: HOST,
          'Request-Id': id,
          Model: `${MODEL}/${adapter}`,
          'Token-Count': '400,20',
          'Prompt-Prefix': `5c1e07a2:200,${id}:200`,
          'Deadline-Ms': String(TIMEOUT_MS),
        },
      },
      (response) => {
        response.resume();
        response.once('end', () => count(response.statusCode));
        response.once('error', () => count(0));
      },
    );
    request.once('error', () => count(0));
    request.end('x');
  }

  async function startServers(deployment, servers, timers) {
    for (let index = 0; index < SERVERS; index += 1) {
      const id = `server-${index + 1}`;
      const born = Date.now();
      const ip = deployment.getServerAddress(index);
      const server = createModelServer({ id, model: MODEL, slots: SLOTS, born, onOrder: judge });
      const target = { host: ip, port: 9001 };
      const link = createLink({ target, isLost: createLoss?.(id, record) });
      await listen(server.server, ip, 9001);
      await listen(link.server, ip, 9000);
      servers.push({ id, server, link });
      let sequence = 0;
      const register = () => {
        sequence += 1;
        deployment.store.put(`servers/${id}`, {
          Backend: SERVICE,
          Addr: `${ip}:9000`,
          Zone: ['zone-a', 'zone-b', 'zone-c'][index % 3],
          Version: 'v1',
          Slots: SLOTS,
          State: 'ready',
          ColdLeftMs: 0,
          Seq: sequence,
          born,
          Models: server.getModels(),
        });
      };
      register();
      timers.push(setInterval(register, REGISTER_INTERVAL_MS));
    }
  }

  async function main() {
    const deployment = await createDeployment({ vms: VMS, grace: GRACE_S });
    const { store, vms, ports } = deployment;
    const servers = [];
    const timers = [];
    const agent = new http.Agent({ keepAlive: true });
    try {
      await startServers(deployment, servers, timers);
      store.put('op/config', createManifest());
      await deployment.startAll();
      const avoided = new Set();
      let turn = 0;
      timers.push(
        setInterval(() => {
          const open = vms.filter(({ name }) => !avoided.has(name));
          turn += 1;
          sendRequest(agent, open[turn % open.length], ports.front);
        }, REQUEST_INTERVAL_MS),
      );
      await delay(WARM_UP_MS);
      await play({
        deployment,
        servers,
        record,
        faults,
        recordHeal: () => {
          healedAt = performance.now();
        },
        getLastOrder: (server) => lastOrders.get(server),
        /** Stops a machine with SIGTERM; clients use others meanwhile, as the directory tells them. */
        stopVm: (vm) => {
          avoided.add(vm.name);
          record(`${vm.name} (${vm.ip}) gets SIGTERM`);
          deployment.signal(vm, 'SIGTERM');
        },
        restartVm: async (vm) => {
          if (!vm.exit) {
            throw new Error(`${vm.name} has not stopped`);
          }
          await deployment.start(vm);
          await deployment.waitUntilReady(vm);
          avoided.delete(vm.name);
          record(`${vm.name} (${vm.ip}) is started again`);
        },
      });
      record(`result: ${faults.length} breaks of ONE; ${JSON.stringify(counts)}`);
      if (faults.length > 0) {
        return 1;
      }
      return counts.answered > 0 ? 0 : 2;
    } finally {
      timers.forEach(clearInterval);
      agent.destroy();
      servers.forEach(({ server, link }) => {
        link.close();
        server.close();
      });
      await deployment.stop();
    }
  }

  const code = await main().catch((error) => {
    record(`the case could not run: ${error.stack}`);
    return 2;
  });
  await writeFile(recordFile, `${lines.join('\n')}\n`);
  return code;
}

function createManifest() {
  return {
    Version: 1,
    Routes: [
      {
        Name: 'chat',
        Host: HOST,
        PathPrefix: '/chat/',
        Type: 'streaming',
        TimeoutMs: TIMEOUT_MS,
        SloMs: 600,
        GapSloMs: 250,
        Prio: 0,
        Attempts: 1,
        Sticky: true,
        Backend: SERVICE,
      },
    ],
    Services: [
      {
        Name: SERVICE,
        HealthPath: '/healthz',
        MaxConns: 370,
        Engine: {
          Slots: SLOTS,
          WeightsMb: 68_000,
          LoraSlots: PLACES,
          Models: [
            { Name: MODEL, WeightsMb: 65_500, LoadS: 0.6, Adapters: ADAPTERS, AdapterMb: 40 },
          ],
        },
      },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15_000,
    },
  };
}
