/**
 * `npm run bench:path`: what the entry VMs add to a request, against the same request straight to
 * an engine stand-in in the same run; streams a second over eight VMs; cost of an idle VM.
 */
import { execFileSync } from 'node:child_process';
import { randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { Agent, request } from 'undici';
import createTrial from '../../scripts/createTrial';

const VMS = 8;
const ADAPTERS = 3000;
/** Beyond every width measured: the straight way has no limit either. */
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
  vms: VMS,
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

/** Sends rounds of `width` requests at a time, straight and through in turn. */
async function compare(straight: [string, string], through: [string, string], stream: boolean) {
  for (const width of [1, 64]) {
    const rounds = Math.ceil((ROUNDS * 4) / width);
    const times = { straight: [] as number[], through: [] as number[] };
    for (let round = 0; round < rounds + WARM_UP / width; round += 1) {
      for (const [name, [url, model]] of [
        ['straight', straight],
        ['through', through],
      ] as const) {
        const one = () => chatOnce(url, model, 1, stream);
        const all = await Promise.all(Array.from({ length: width }, one));
        if (round >= WARM_UP / width) {
          times[name].push(...all);
        }
      }
    }
    const added = (share: number) =>
      getQuantile(times.through, share) - getQuantile(times.straight, share);
    print(
      `${stream ? 'streamed' : 'unary'}, ${width} at a time`,
      `straight P50 ${getQuantile(times.straight, 0.5).toFixed(2)} ms,`,
      `through P50 ${getQuantile(times.through, 0.5).toFixed(2)} ms;`,
      `added P50 ${added(0.5).toFixed(2)} ms, P99 ${added(0.99).toFixed(2)} ms`,
    );
  }
}

function print(...words: string[]): void {
  process.stdout.write(`${words.join(' ')}\n`);
}

async function streamForAWhile(): Promise<void> {
  const endAt = performance.now() + STREAM_SECONDS * 1000;
  let done = 0;
  const client = async (index: number) => {
    while (performance.now() < endAt) {
      const url = trial.getVmUrl(1 + (index % VMS));
      await chatOnce(url, `lace-${1 + (index % 12)}@v1`, STREAM_TOKENS, true);
      done += 1;
    }
  };
  await Promise.all(Array.from({ length: STREAM_CLIENTS }, (_, index) => client(index)));
  const rate = done / STREAM_SECONDS;
  print(`streams of ${STREAM_TOKENS} tokens over ${VMS} VMs: ${rate.toFixed(0)} a second`);
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
  const wanted = text.split('\n').filter((line) => /^baobablink_(mesh_sent|key_value)/.test(line));
  return new Map(wanted.map((line) => [line.split(' ')[0], Number(line.split(' ')[1])]));
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
  const pids = Array.from({ length: VMS }, (_, index) => trial.getChild(`vm${index + 1}`)!.pid!);
  await new Promise((resolve) => {
    setTimeout(resolve, SETTLE_MS);
  });
  const countersBefore = await Promise.all(pids.map((_, index) => getCounters(index + 1)));
  const before = pids.map(getCpuSeconds);
  await new Promise((resolve) => {
    setTimeout(resolve, IDLE_SECONDS * 1000);
  });
  const shares = pids.map((pid, index) => (getCpuSeconds(pid) - before[index]) / IDLE_SECONDS);
  const countersAfter = await Promise.all(pids.map((_, index) => getCounters(index + 1)));
  const rates = (name: string) =>
    pids.map((_, index) => getSumPerSecond(name, countersBefore[index], countersAfter[index]));
  const memory = pids.map(getMegabytes);
  const most = (values: number[]) => Math.max(...values);
  print(
    `idle VM, ${ADAPTERS} rows, ${VMS} VMs: median ${(100 * getQuantile(shares, 0.5)).toFixed(1)} %,`,
    `at most ${(100 * most(shares)).toFixed(1)} % of a core,`,
    `${most(memory).toFixed(0)} MB resident,`,
    `sends at most ${most(rates('mesh_sent')).toFixed(0)} bytes/s to other VMs,`,
    `${most(rates('key_value')).toFixed(1)} platform calls/s`,
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
  const held = pools[0].engines
    .flatMap(({ engine, names }) => names.map((name) => ({ engine, name })))
    .find(({ name }) => name.startsWith('lace-1@'))!;
  const engineUrl = `http://${trial.getEngineAddress(Number(held.engine.replace('engine', '')))}`;
  const owner = `http://${pools[0].owner.replace(':7080', ':8080')}`;
  const other = trial.getVmUrl(owner === trial.getVmUrl(1) ? 2 : 1);
  print('through a VM that does not own the pool:');
  await compare([engineUrl, held.name], [other, 'lace-1@v1'], true);
  await compare([engineUrl, held.name], [other, 'lace-1@v1'], false);
  print('through the owner:');
  await compare([engineUrl, held.name], [owner, 'lace-1@v1'], true);
  await streamForAWhile();
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
