import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import createStore from './createStore.mjs';

const STORE_PORT = 8142;
const PORTS = { front: 8149, ready: 8141, control: 8144, directory: 8143 };
const METRICS_PORT = 9464;
const INNER_PORTS = [7380, 7395];
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const READY_TIMEOUT_MS = 15_000;
const POLL_MS = 100;
const MAX_TRIES = 20;
/** The command of `deploy/system.toml`, after the program. */
const COMMAND = [
  '--max-old-space-size=160',
  '--interrupt-budget=400000',
  'target/baobablink.cjs',
  'serve-platform',
];

export function delay(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/**
 * Creates a small deployment on loopback addresses: the platform's store in this process, and front
 * machines as separate processes, started with the command of the deploy file.
 */
export default async function createDeployment({
  vms: count,
  bounds = {},
  limits = {},
  grace = 8,
}) {
  const network = await findNetwork(count);
  const folder = await mkdtemp(path.join(tmpdir(), 'review-'));
  const store = createStore();
  const storeAddress = `${network}.1.1`;
  const children = new Map();
  const vms = Array.from({ length: count }, (_, index) => {
    const ip = `${network}.5.${index + 1}`;
    return { name: `front-${index + 1}`, ip, zone: ZONES[index % ZONES.length] };
  });
  // Ends the machines also where the script ends by an error.
  process.once('exit', () => children.forEach((child) => child.kill('SIGKILL')));
  await listen(store.server, storeAddress, STORE_PORT);

  async function writeSettings(vm) {
    const lines = [
      `Node = "${vm.name}"`,
      'Role = "entry"',
      'Class = "front"',
      'Serves = ["front","directory","control"]',
      `Ip = "${vm.ip}"`,
      `Zone = "${vm.zone}"`,
      'Region = "region"',
      `PortRange = [${INNER_PORTS.join(',')}]`,
      `Seeds = [${vms
        .slice(0, 3)
        .map(({ ip }) => `"${ip}:${PORTS.control}"`)
        .join(',')}]`,
      'Bootstrap = true',
      'InTolerance = false',
      'Discovery = "platform"',
      'Entry = "directory"',
      'HeartbeatMs = 1200',
      '[Zones]',
      ...ZONES.map((zone) => `${zone} = "region"`),
      '[Listen]',
      `Front = "${vm.ip}:${PORTS.front}"`,
      `Ready = "${vm.ip}:${PORTS.ready}"`,
      `Control = "${vm.ip}:${PORTS.control}"`,
      `Directory = "${vm.ip}:${PORTS.directory}"`,
      '[Limits]',
      ...Object.entries({
        CpuShare: 0.675,
        Cpus: 1,
        RamMb: 350,
        MaxFds: 4100,
        LinkMbps: 1000,
        DiskMb: 0,
        ...limits,
      }).map(([name, value]) => `${name} = ${value}`),
      '[Bounds]',
      ...Object.entries({
        SeedLagS: 3,
        ReuseAfterS: 2,
        ContactMs: 3000,
        AckMs: 4000,
        CatchUpS: 4,
        DrainMs: 2000,
        GraceS: grace,
        LossSlackMs: 200,
        ConfigMs: 2000,
        RollbackSlackMs: 250,
        SkewMaxMs: 5000,
        RetryRatio: 0.2,
        RetryWindowS: 10,
        RetrySlack: 56,
        RecoverS: 12,
        PassMs: 120,
        RetryAfterS: 0,
        Fencing: false,
        LeaseMs: 3000,
        ThawMs: 300,
        CeilingWindowS: 5,
        OriginExcess: 1.1,
        version_ms: 5000,
        ttl_max_s: 5,
        ...bounds,
      }).map(([name, value]) => `${name} = ${value}`),
      '[Provider]',
      `Addr = "${storeAddress}:${STORE_PORT}"`,
      'form = "kv"',
      'WritesPerS = 400',
      'ReadsPerS = 2000',
      'HistoryS = 20',
      'ValueBytes = 1048576',
      'TtlMinMs = 1000',
    ];
    const file = path.join(folder, `${vm.name}.toml`);
    await writeFile(file, `${lines.join('\n')}\n`);
    return file;
  }

  async function start(vm) {
    const file = await writeSettings(vm);
    const child = spawn(process.execPath, COMMAND, {
      env: {
        PATH: process.env.PATH,
        HOME: folder,
        BAOBABLINK_NODE_FILE: file,
        BAOBABLINK_SETTINGS_FILE: file,
        BAOBABLINK_CLUSTER_KEY: 'one-key-for-all-entry-vms',
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(path.join(folder, `${vm.name}.log`), { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once('exit', (code, signal) => {
      Object.assign(vm, { exit: { code, signal } });
    });
    Object.assign(vm, { exit: undefined });
    children.set(vm.name, child);
  }

  async function waitUntilReady(vm) {
    const until = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < until) {
      if ((await getStatus(vm.ip, PORTS.ready, '/api/readyz')) === 200) {
        return;
      }
      await delay(POLL_MS);
    }
    throw new Error(`${vm.name} is not ready`);
  }

  /** Ends all processes that were started and removes the temporary folder. */
  async function stop() {
    const exits = [...children.values()].map(
      (child) =>
        new Promise((resolve) => {
          if (child.exitCode !== null || child.signalCode !== null) {
            resolve();
            return;
          }
          child.once('exit', resolve);
          child.kill('SIGKILL');
        }),
    );
    await Promise.all(exits);
    store.close();
    if (process.env.KEEP_FOLDER === undefined) {
      await rm(folder, { recursive: true });
    }
  }

  return {
    store,
    vms,
    folder,
    ports: PORTS,
    start,
    waitUntilReady,
    startAll: async () => {
      await Promise.all(vms.map(start));
      await Promise.all(vms.map(waitUntilReady));
    },
    signal: (vm, signal) => children.get(vm.name).kill(signal),
    getPid: (vm) => children.get(vm.name).pid,
    getServerAddress: (index) => `${network}.2.${index + 1}`,
    stop,
  };
}

export function listen(server, host, port) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}

function getStatus(host, port, target) {
  return new Promise((resolve) => {
    const request = http.get(
      { host, port, path: target, timeout: 1000, agent: false },
      (response) => {
        response.resume();
        resolve(response.statusCode);
      },
    );
    request.once('timeout', () => request.destroy());
    request.once('error', () => resolve(0));
  });
}

/** Returns the first two octets of loopback addresses at which all ports are free. */
async function findNetwork(count) {
  for (let attempt = 0; attempt < MAX_TRIES; attempt += 1) {
    const network = `127.${100 + Math.floor(Math.random() * 120)}`;
    const needed = [[`${network}.1.1`, STORE_PORT]];
    for (let index = 1; index <= count; index += 1) {
      [...Object.values(PORTS), METRICS_PORT, ...INNER_PORTS].forEach((port) =>
        needed.push([`${network}.5.${index}`, port]),
      );
    }
    const areFree = await Promise.all(needed.map(([host, port]) => isFree(host, port)));
    if (areFree.every(Boolean)) {
      return network;
    }
  }
  throw new Error('no free loopback addresses');
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const probe = net.createServer();
    probe.once('error', () => resolve(false));
    probe.listen(port, host, () => probe.close(() => resolve(true)));
  });
}
