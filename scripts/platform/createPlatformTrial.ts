import { execFileSync, spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { request } from 'undici';
import createRelay from '../../standins/createRelay';
import type Layout from '../../standins/platform/Layout';
import type ExecutionRecord from '../../standins/platform/ExecutionRecord';
import type PartitionMode from './PartitionMode';
import waitFor from '../waitFor';

const CLUSTER_KEY = 'trial-cluster-key-0001';
const MODEL = 'base';
const SLOTS = 8;
const ADAPTER_SLOTS = 4;
const PLAIN_SERVER_COUNT = 2;
const DATA_CENTRES = ['x', 'y', 'z'];
const GRACE_S = 4;
const PARTITION_SCRIPT = './scripts/platform/partitionConnections.mjs';
/** The platform lists at most three VMs as seeds. */
const MAX_SEEDS = 3;

interface Exit {
  code: number | null;
  signal: NodeJS.Signals | null;
}

/**
 * Creates a trial with entry VMs started as the platform starts them and the stand-in for the
 * platform, all as separate processes on loopback addresses, with relays in front of the key-value
 * service and the servers.
 */
export default function createPlatformTrial(options: {
  vms: number;
  engines: number;
  /** Plain servers (default: 2). */
  desks?: number;
  /** Second octet of the loopback addresses; distinct values let trials run side by side. */
  network?: number;
  /** Arguments of Node.js for the VMs. */
  nodeArguments?: readonly string[];
  /** Lines of the section `Limits` of the VMs' settings. */
  limits?: string[];
  /** Largest body that the manifest allows (default: 1 MiB). */
  maxBodyBytes?: number;
  /** Bundle of the product that the VMs run; built from this checkout if undefined. */
  bundle?: string;
}) {
  const network = options.network ?? 60;

  const folder = mkdtempSync(path.join(tmpdir(), 'baobablink-trial-'));
  const store = `127.${network}.1.1:2379`;
  const control = `127.${network}.1.1:2380`;
  const children = new Map<string, ChildProcess>();
  const logs = new Map<string, string[]>();
  const bundles = new Map<string, string>();
  const expectedExits = new Set<string>();
  const exits: { name: string; exit: Exit }[] = [];

  const names = [
    ...Array.from({ length: options.engines }, (_, index) => ({
      id: `engine-${index + 1}`,
      kind: 'model' as const,
      service: 'models',
    })),
    ...Array.from({ length: options.desks ?? PLAIN_SERVER_COUNT }, (_, index) => ({
      id: `desk-${index + 1}`,
      kind: 'plain' as const,
      service: 'desk',
    })),
  ];
  const servers = names.map((name, index) => ({
    ...name,
    dataCentre: DATA_CENTRES[index % DATA_CENTRES.length],
    listen: `127.${network}.2.${index + 1}:9000`,
    announced: `127.${network}.3.${index + 1}:9000`,
  }));
  const layout: Layout = {
    store,
    control,
    model: MODEL,
    slots: SLOTS,
    places: ADAPTER_SLOTS,
    servers,
  };
  const serverRelays = new Map(
    servers.map((server) => [server.id, createRelay(server.announced, server.listen)]),
  );
  const vms = Array.from({ length: options.vms }, (_, index) => `vm${index + 1}`);
  const storeRelays = new Map(
    vms.map((name, index) => [name, createRelay(getStoreAddress(index), store)]),
  );

  function getStoreAddress(index: number): string {
    return `127.${network}.4.${index + 1}:2379`;
  }

  function getAddress(name: string, port: number): string {
    return `127.${network}.5.${vms.indexOf(name) + 1}:${port}`;
  }

  function spawnChild(
    name: string,
    commandArguments: string[],
    environment: Record<string, string> = {},
  ) {
    const child = spawn(process.execPath, commandArguments, {
      env: { ...process.env, ...environment },
      stdio: ['ignore', 'pipe', 'pipe'],
      detached: true,
    });
    const lines = logs.get(name) ?? [];
    logs.set(name, lines);
    child.stdout.on('data', (chunk: Buffer) => lines.push(chunk.toString()));
    child.stderr.on('data', (chunk: Buffer) => lines.push(chunk.toString()));
    child.once('exit', (code, signal) => {
      if (!expectedExits.has(name)) {
        exits.push({ name, exit: { code, signal } });
      }
    });
    children.set(name, child);
    expectedExits.delete(name);
  }

  /** Rewrites a VM's settings file with `change` applied to the original text. */
  function changeSettings(name: string, change: (text: string) => string): void {
    const text = getSettings(name, getStoreAddress(vms.indexOf(name)));
    writeFileSync(path.join(folder, `${name}.toml`), change(text));
  }

  function startVm(name: string): void {
    const index = vms.indexOf(name);
    const file = path.join(folder, `${name}.toml`);

    writeFileSync(file, getSettings(name, getStoreAddress(index)));
    const bundle = bundles.get(name) ?? options.bundle ?? 'target/baobablink.cjs';
    const nodeArguments = [...(options.nodeArguments ?? []), '--import', PARTITION_SCRIPT];
    spawnChild(name, [...nodeArguments, bundle, 'serve-platform'], {
      TRIAL_PARTITION_FILE: getPartitionFile(name),
      TRIAL_SERVER_PREFIX: `127.${network}.3.`,
      BAOBABLINK_SETTINGS_FILE: file,
      BAOBABLINK_CLUSTER_KEY: CLUSTER_KEY,
    });
  }

  function getPartitionFile(name: string): string {
    return path.join(folder, `${name}.partition`);
  }

  /** Stops a VM as the platform does and starts it with another build of the product. */
  async function replaceBuild(name: string, bundle: string): Promise<void> {
    await endProcess(name, 'SIGTERM');
    bundles.set(name, bundle);
    startVm(name);
    await waitUntilReady(name);
  }

  /** Partitions a VM from all servers, or ends that. */
  function setPartition(name: string, mode: PartitionMode): void {
    writeFileSync(getPartitionFile(name), mode);
  }

  function getSettings(name: string, storeAddress: string): string {
    const [ip] = getAddress(name, 0).split(':');
    return [
      `Node = "${name}"`,
      `Ip = "${ip}"`,
      `Zone = "${DATA_CENTRES[vms.indexOf(name) % DATA_CENTRES.length]}"`,
      'PortRange = [7380, 7395]',
      `Seeds = [${vms
        .slice(0, MAX_SEEDS)
        .map((vm) => `"${getAddress(vm, 8084)}"`)
        .join()}]`,
      '[Listen]',
      `Front = "${getAddress(name, 8080)}"`,
      `Ready = "${getAddress(name, 8081)}"`,
      `Directory = "${getAddress(name, 8083)}"`,
      '[Bounds]',
      `GraceS = ${GRACE_S}`,
      'LeaseMs = 3000',
      'RetryRatio = 0.2',
      'RetryWindowS = 10',
      'RetrySlack = 56',
      'ttl_max_s = 5',
      '[Provider]',
      `Addr = "${storeAddress}"`,
      'TtlMinMs = 1000',
      ...(options.limits ? ['[Limits]', ...options.limits] : []),
    ].join('\n');
  }

  async function start(): Promise<void> {
    if (options.bundle === undefined) {
      execFileSync('bash', ['scripts/build-platform.sh'], { stdio: 'pipe' });
    }
    const file = path.join(folder, 'layout.json');

    writeFileSync(file, JSON.stringify(layout));
    spawnChild('platform', ['--import', 'tsx', 'standins/platform/main.ts', '--config', file]);
    await waitFor(async () => (await tryCall('GET', `http://${control}/ledger`)) === 200);
    await setManifest(1, 2000);
    vms.forEach(startVm);
    await Promise.all(vms.map(waitUntilReady));
  }

  function waitUntilReady(name: string): Promise<void> {
    return waitFor(
      async () => (await tryCall('GET', `http://${getAddress(name, 8081)}/api/readyz`)) === 200,
    );
  }

  /** Publishes a manifest with the trial's routes, with the given version and request timeout. */
  async function setManifest(version: number, timeoutMs: number): Promise<void> {
    const route = (
      Name: string,
      Type: 'idempotent' | 'non_idempotent' | 'streaming',
      fields: Record<string, unknown>,
    ) => ({
      Name,
      Host: 'trial.example',
      PathPrefix: `/${Name}/`,
      Type,
      TimeoutMs: timeoutMs,
      SloMs: 500,
      Attempts: 2,
      Backend: Type === 'streaming' ? 'models' : 'desk',
      ...fields,
    });
    await post('manifest', {
      Version: version,
      Routes: [
        route('chat', 'streaming', { GapSloMs: 250 }),
        route('resume', 'streaming', { GapSloMs: 250, CanResume: true }),
        route('hold', 'non_idempotent', {}),
        route('look', 'idempotent', {}),
      ],
      Services: [
        {
          Name: 'models',
          MaxConns: 400,
          Engine: {
            Slots: SLOTS,
            WeightsMb: 1000,
            LoraSlots: ADAPTER_SLOTS,
            Models: [{ Name: MODEL, WeightsMb: 500, LoadS: 0.5, AdapterMb: 1 }],
          },
        },
        { Name: 'desk', MaxConns: 400 },
      ],
      Limits: {
        MaxHeaderBytes: 16_384,
        MaxBodyBytes: options.maxBodyBytes ?? 1_048_576,
        HeaderTimeoutMs: 3000,
        IdleTimeoutMs: 15_000,
      },
    });
  }

  async function post(name: string, body: unknown): Promise<void> {
    const response = await request(`http://${control}/${name}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
    });
    await response.body.dump();
  }

  async function getExecutionRecord(): Promise<ExecutionRecord> {
    const response = await request(`http://${control}/ledger`);
    return (await response.body.json()) as ExecutionRecord;
  }

  /** Sends a signal to a process and waits until it has exited. */
  function endProcess(name: string, signal: NodeJS.Signals): Promise<void> {
    const child = children.get(name);
    if (!child || child.exitCode !== null || child.signalCode !== null) {
      return Promise.resolve();
    }
    expectedExits.add(name);
    return new Promise((resolve) => {
      child.once('exit', () => resolve());
      child.kill(signal);
    });
  }

  async function stop(): Promise<void> {
    children.forEach((child) => child.kill('SIGCONT'));
    await Promise.all(vms.map((name) => endProcess(name, 'SIGTERM')));
    await endProcess('platform', 'SIGTERM');
    [...serverRelays.values(), ...storeRelays.values()].forEach((relay) => relay.close());

    rmSync(folder, { recursive: true });
  }

  return {
    start,
    stop,
    startVm,
    changeSettings,
    setPartition,
    replaceBuild,
    endProcess,
    waitUntilReady,
    setManifest,
    post,
    getExecutionRecord,
    vms,
    servers,
    serverRelays,
    storeRelays,
    exits,
    model: MODEL,
    getAddress,
    signal: (name: string, signal: NodeJS.Signals) => children.get(name)?.kill(signal),
    getPid: (name: string) => children.get(name)?.pid,
    getLog: (name: string) => (logs.get(name) ?? []).join(''),
  };
}

async function tryCall(method: 'GET', url: string): Promise<number> {
  try {
    const response = await request(url, { method, headersTimeout: 1000 });
    await response.body.dump();
    return response.statusCode;
  } catch {
    return 0;
  }
}
