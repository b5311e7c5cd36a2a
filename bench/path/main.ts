/**
 * `npm run bench:path`: measures the latency that the entry VMs add to a request, compared with the
 * same request sent directly to an engine stand-in in the same run; the streams per second over
 * eight VMs; and the resource use of an idle VM.
 */
import { execFileSync } from 'node:child_process';
import { randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { Agent, request } from 'undici';
import createTrial from '../../scripts/createTrial';

const VM_COUNT = 8;
const ADAPTERS = 3000;
/** Larger than every tested concurrency, since direct requests have no limit either. */
const ENGINE_BATCH = 256;
const WARM_UP = 100;
const ROUNDS = 200;
const STREAM_SECONDS = 8;
const STREAM_TOKENS = 40;
const STREAM_CLIENTS = 192;
const IDLE_SECONDS = 10;
const SETTLE_MS = 8000;
const CLOCK_TICKS_PER_SECOND = 100;

const trial = createTrial({
  binary: ['dist/baobablink'],
  vms: VM_COUNT,
  network: 50,
  engineArguments: [
    '--token-ms',
    '1',
    '--extra-ms',
    '0',
    '--slots',
    '16',
    '--first-token',
    'at-once',
  ],
});
const agent = new Agent({ connections: 512, pipelining: 1, headersTimeout: 20_000 });

async function chatOnce(url: string, model: string, tokens: number, stream: boolean) {
  const startedAt = performance.now();
  const response = await request(`${url}/v1/chat/completions`, {
    method: 'POST',
    dispatcher: agent,
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${trial.callerKey}`,
      'x-request-id': randomUUID(),
    },
    body: JSON.stringify({ model, stream, max_tokens: tokens, messages: [] }),
  });
  const text = await response.body.text();
  if (response.statusCode !== 200) {
    throw new Error(`${url}: ${response.statusCode} ${text.slice(0, 200)}`);
  }
  return performance.now() - startedAt;
}

function getQuantile(values: number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
}

/** Sends rounds of `width` concurrent requests, alternating between direct and proxied rounds. */
async function compare(direct: [string, string], proxied: [string, string], stream: boolean) {
  for (const width of [1, 64]) {
    const rounds = Math.ceil((ROUNDS * 4) / width);
    const times = { straight: [] as number[], through: [] as number[] };
    for (let round = 0; round < rounds + WARM_UP / width; round += 1) {
      for (const [name, [url, model]] of [
        ['straight', direct],
        ['through', proxied],
      ] as const) {
        const sendOne = () => chatOnce(url, model, 1, stream);
        const latencies = await Promise.all(Array.from({ length: width }, sendOne));
        if (round >= WARM_UP / width) {
          times[name].push(...latencies);
        }
      }
    }
    const getAddedMs = (share: number) =>
      getQuantile(times.through, share) - getQuantile(times.straight, share);
    print(
      `${stream ? 'streamed' : 'unary'}, ${width} at a time`,
      `straight P50 ${getQuantile(times.straight, 0.5).toFixed(2)} ms,`,
      `through P50 ${getQuantile(times.through, 0.5).toFixed(2)} ms;`,
      `added P50 ${getAddedMs(0.5).toFixed(2)} ms, P99 ${getAddedMs(0.99).toFixed(2)} ms`,
    );
  }
}

function print(...parts: string[]): void {
  process.stdout.write(`${parts.join(' ')}\n`);
}

async function measureStreams(): Promise<void> {
  const endAt = performance.now() + STREAM_SECONDS * 1000;
  let done = 0;
  const client = async (index: number) => {
    while (performance.now() < endAt) {
      const url = trial.getVmUrl(1 + (index % VM_COUNT));
      await chatOnce(url, `lace-${1 + (index % 12)}@v1`, STREAM_TOKENS, true);
      done += 1;
    }
  };
  await Promise.all(Array.from({ length: STREAM_CLIENTS }, (_, index) => client(index)));
  const rate = done / STREAM_SECONDS;
  print(`streams of ${STREAM_TOKENS} tokens over ${VM_COUNT} VMs: ${rate.toFixed(0)} a second`);
}

function getCpuSeconds(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1].split(' ');
  return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND;
}

function getMegabytes(pid: number): number {
  const line = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
  return Number(line![1]) / 1024;
}

async function getCounters(index: number): Promise<Map<string, number>> {
  const { text } = await trial.call('GET', `${trial.getVmUrl(index)}/metrics`);
  const counterLines = text
    .split('\n')
    .filter((line) => /^baobablink_(mesh_sent|key_value)/.test(line));
  return new Map(counterLines.map((line) => [line.split(' ')[0], Number(line.split(' ')[1])]));
}

function getSumPerSecond(
  name: string,
  before: Map<string, number>,
  after: Map<string, number>,
): number {
  const sum = (counters: Map<string, number>) =>
    [...counters]
      .filter(([key]) => key.includes(name))
      .reduce((total, [, value]) => total + value, 0);
  return (sum(after) - sum(before)) / IDLE_SECONDS;
}

async function measureIdle(): Promise<void> {
  const pids = Array.from(
    { length: VM_COUNT },
    (_, index) => trial.getChild(`vm${index + 1}`)!.pid!,
  );
  await new Promise((resolve) => {
    setTimeout(resolve, SETTLE_MS);
  });
  const countersBefore = await Promise.all(pids.map((_, index) => getCounters(index + 1)));
  const before = pids.map(getCpuSeconds);
  await new Promise((resolve) => {
    setTimeout(resolve, IDLE_SECONDS * 1000);
  });
  const cpuShares = pids.map((pid, index) => (getCpuSeconds(pid) - before[index]) / IDLE_SECONDS);
  const countersAfter = await Promise.all(pids.map((_, index) => getCounters(index + 1)));
  const getRates = (name: string) =>
    pids.map((_, index) => getSumPerSecond(name, countersBefore[index], countersAfter[index]));
  const memory = pids.map(getMegabytes);
  const getMaximum = (values: number[]) => Math.max(...values);
  print(
    `idle VM, ${ADAPTERS} rows, ${VM_COUNT} VMs: median ${(100 * getQuantile(cpuShares, 0.5)).toFixed(1)} %,`,
    `at most ${(100 * getMaximum(cpuShares)).toFixed(1)} % of a core,`,
    `${getMaximum(memory).toFixed(0)} MB resident,`,
    `sends at most ${getMaximum(getRates('mesh_sent')).toFixed(0)} bytes/s to other VMs,`,
    `${getMaximum(getRates('key_value')).toFixed(1)} platform calls/s`,
  );
}

async function main(): Promise<void> {
  execFileSync('bash', ['scripts/build.sh'], { stdio: 'inherit' });
  await trial.start();
  await trial.fillTable(ADAPTERS, ENGINE_BATCH);
  await measureIdle();
  for (let index = 1; index <= 12; index += 1) {
    await chatOnce(trial.getVmUrl(1), `lace-${index}@v1`, 1, false);
  }
  const status = await trial.callAsOperator('GET', `${trial.getVmUrl(1)}/v1/status`);
  const { pools } = JSON.parse(status.text) as {
    pools: { owner: string; engines: { engine: string; names: string[] }[] }[];
  };
  const residentAdapter = pools[0].engines
    .flatMap(({ engine, names }) => names.map((name) => ({ engine, name })))
    .find(({ name }) => name.startsWith('lace-1@'))!;
  const engineUrl = `http://${trial.getEngineAddress(Number(residentAdapter.engine.replace('engine', '')))}`;
  const owner = `http://${pools[0].owner.replace(':7080', ':8080')}`;
  const nonOwner = trial.getVmUrl(owner === trial.getVmUrl(1) ? 2 : 1);
  print('through a VM that does not own the pool:');
  await compare([engineUrl, residentAdapter.name], [nonOwner, 'lace-1@v1'], true);
  await compare([engineUrl, residentAdapter.name], [nonOwner, 'lace-1@v1'], false);
  print('through the owner:');
  await compare([engineUrl, residentAdapter.name], [owner, 'lace-1@v1'], true);
  await measureStreams();
}

main()
  .then(() => trial.stop())
  .then(
    () => process.exit(0),
    async (error: Error) => {
      process.stderr.write(`${error.stack}\n`);
      await trial.stop();
      process.exit(1);
    },
  );
