import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createHash } from 'node:crypto';
import { request } from 'undici';
import waitFor from './waitFor';

const CLUSTER_KEY = 'trial-cluster-key-0001';
const OPERATOR_TOKEN = 'trial-operator-token-1';
const CALLER_KEY = 'trial-caller-key';
const ENGINE_COUNT = 3;

/**
 * Creates a trial: stand-ins and entry VMs as separate processes on loopback addresses. Processes
 * are ended by their process ids.
 */
export default function createTrial(options: {
  binary: string[];
  vms: number;
  /** Third octet of the loopback addresses; distinct values let trials run side by side. */
  network?: number;
  /** Additional command-line arguments for the engines. */
  engineArguments?: string[];
  /** Returns the address at which a VM reaches the platform, if a relay is in front of it. */
  getPlatformAddress?: (index: number) => string | undefined;
}) {
  const network = options.network ?? 10;
  const platform = `127.0.${network}.1:2379`;
  const service = `127.0.${network}.30:9100`;
  const children = new Map<string, ChildProcess>();
  const logs = new Map<string, string[]>();

  function spawnChild(name: string, command: string[], environment: Record<string, string> = {}) {
    const [program, ...programArguments] = command;
    const child = spawn(program, programArguments, {
      env: { ...process.env, ...environment },
      stdio: ['ignore', 'pipe', 'pipe'],
      // Only the trial receives Ctrl-C; it then stops its processes in order.
      detached: true,
    });
    const lines: string[] = [];
    logs.set(name, lines);
    child.stdout.on('data', (chunk: Buffer) => lines.push(chunk.toString()));
    child.stderr.on('data', (chunk: Buffer) => lines.push(chunk.toString()));
    children.set(name, child);
    return child;
  }

  function spawnStandin(name: string, file: string, standinArguments: string[]): void {
    spawnChild(name, ['node', `dist/standins/${file}.cjs`, ...standinArguments]);
  }

  function getVmHost(index: number): string {
    return `127.0.${network + 1}.${index}`;
  }

  function startVm(index: number, environment: Record<string, string> = {}): ChildProcess {
    return spawnChild(`vm${index}`, [...options.binary, 'serve'], {
      BAOBABLINK_LISTEN_HOST: getVmHost(index),
      BAOBABLINK_DATA_CENTRE: `dc${1 + ((index - 1) % 3)}`,
      BAOBABLINK_PLATFORM_URL: `http://${options.getPlatformAddress?.(index) ?? platform}`,
      BAOBABLINK_VM_LIST_URL: `http://${platform}/vms`,
      BAOBABLINK_CLUSTER_KEY: CLUSTER_KEY,
      BAOBABLINK_OPERATOR_TOKEN: OPERATOR_TOKEN,
      BAOBABLINK_HANDED_OUT_MS: '1500',
      ...environment,
    });
  }

  async function start(): Promise<void> {
    const entries = Array.from({ length: options.vms }, (_, index) => ({
      address: `${getVmHost(index + 1)}:7080`,
      role: 'entry',
      state: 'live',
    }));
    spawnStandin('platform', 'keyValue', ['--listen', platform, '--vms', JSON.stringify(entries)]);
    for (let index = 1; index <= ENGINE_COUNT; index += 1) {
      const checksFencing = String(index === 1);
      const standinArguments = [
        '--listen',
        getEngineAddress(index),
        '--checks-fencing',
        checksFencing,
      ].concat(options.engineArguments ?? []);
      spawnStandin(`engine${index}`, 'engine', standinArguments);
    }
    spawnStandin('service', 'service', ['--listen', service]);
    await waitFor(async () => (await call('GET', `http://${platform}/vms`)).status === 200);
    entries.forEach((_, index) => startVm(index + 1));
    await waitFor(async () => {
      const ready = await Promise.all(
        entries.map((_, index) => call('GET', `${getVmUrl(index + 1)}/readyz`)),
      );
      return ready.every(({ status }) => status === 200);
    });
  }

  function getEngineAddress(index: number): string {
    return `127.0.${network}.${10 + index}:9001`;
  }

  function getVmUrl(index: number): string {
    return `http://${getVmHost(index)}:8080`;
  }

  async function call(
    method: string,
    url: string,
    body?: unknown,
    headers: Record<string, string> = {},
  ): Promise<{ status: number; text: string }> {
    try {
      const response = await request(url, {
        method: method as 'GET',
        headers: { 'content-type': 'application/json', ...headers },
        body: body === undefined ? undefined : JSON.stringify(body),
      });
      return { status: response.statusCode, text: await response.body.text() };
    } catch (error) {
      return { status: 0, text: (error as Error).message };
    }
  }

  function callAsOperator(method: string, url: string, body?: unknown, headers = {}) {
    return call(method, url, body, { authorization: `Bearer ${OPERATOR_TOKEN}`, ...headers });
  }

  function callAsCaller(method: string, url: string, body?: unknown, headers = {}) {
    return call(method, url, body, { authorization: `Bearer ${CALLER_KEY}`, ...headers });
  }

  /** Writes a team, the upstreams and the adapters to the table. */
  async function fillTable(adapters: number, batchSize = 16): Promise<void> {
    const url = `${getVmUrl(1)}/v1/table`;
    const key = createHash('sha256').update(CALLER_KEY).digest('hex');
    await callAsOperator('PUT', `${url}/teams/atelier`, { keys: [key] });
    for (let index = 1; index <= ENGINE_COUNT; index += 1) {
      await callAsOperator('PUT', `${url}/upstreams/engine${index}`, {
        kind: 'engine',
        address: getEngineAddress(index),
        dataCentre: `dc${index}`,
        baseModel: 'base',
        slots: 8,
        batchSize,
        checksFencing: index === 1,
      });
    }
    await callAsOperator('PUT', `${url}/upstreams/desk1`, {
      kind: 'service',
      address: service,
      dataCentre: 'dc1',
      service: 'desk',
    });
    const rows = Array.from({ length: adapters }, (_, index) => ({
      name: `lace-${index + 1}`,
      value: {
        team: 'atelier',
        baseModel: 'base',
        versions: [{ name: 'v1' }, { name: 'v2', weight: 0 }],
        currentVersion: 'v1',
      },
    }));
    await callAsOperator('PATCH', `${url}/adapters`, { rows });
  }

  /** Sends one streamed chat request; returns its status, the models in its chunks and the text. */
  async function chat(url: string, model: string, tokens = 8, headers = {}) {
    const body = { model, stream: true, max_tokens: tokens, messages: [] };
    const response = await callAsCaller('POST', `${url}/v1/chat/completions`, body, headers);
    const chunks = response.text
      .split('\n\n')
      .filter((line) => line.startsWith('data: {'))
      .map((line) => JSON.parse(line.slice('data: '.length)) as Chunk);
    return {
      status: response.status,
      raw: response.text,
      models: [...new Set(chunks.map((chunk) => chunk.model))],
      text: chunks.map((chunk) => chunk.choices?.[0].delta.content ?? '').join(''),
      finished: chunks.some((chunk) => chunk.choices?.[0].finish_reason),
    };
  }

  async function stopChild(name: string, signal: NodeJS.Signals): Promise<number | null> {
    const child = children.get(name)!;
    children.delete(name);
    if (child.exitCode !== null || child.signalCode !== null) {
      return child.exitCode;
    }
    return new Promise((resolve) => {
      child.once('exit', (code) => resolve(code));
      child.kill(signal);
    });
  }

  /** Stops the VMs gracefully, then the stand-ins; returns the VMs whose exit code is not 0. */
  async function stop(): Promise<string[]> {
    const names = [...children.keys()];
    const vms = names.filter((name) => name.startsWith('vm'));
    const codes = await Promise.all(vms.map((name) => stopChild(name, 'SIGTERM')));
    const failedVms = vms.filter((_, index) => codes[index] !== 0);
    await Promise.all(
      names.filter((name) => !vms.includes(name)).map((name) => stopChild(name, 'SIGTERM')),
    );
    return failedVms;
  }

  return {
    start,
    startVm,
    stop,
    stopChild,
    fillTable,
    chat,
    call,
    callAsCaller,
    callAsOperator,
    getVmUrl,
    getEngineAddress,
    platform,
    service,
    getLog: (name: string) => (logs.get(name) ?? []).join(''),
    getChild: (name: string) => children.get(name),
    operatorToken: OPERATOR_TOKEN,
    callerKey: CALLER_KEY,
  };
}

interface Chunk {
  model: string;
  choices?: { delta: { content?: string }; finish_reason: string | null }[];
}
