/**
 * Runs entry VMs and the stand-in of the platform as separate processes, injects random faults from
 * outside and judges what callers and servers saw. `npm run soak -- --help` lists the options.
 * Ends with status 1 where a seed failed; its logs are then kept in `soak-logs/SEED`.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import meow from 'meow';
import createRandom from '../bench/createRandom';
import createCallers from './platform/createCallers';
import createFaults from './platform/createFaults';
import createPlatformTrial from './platform/createPlatformTrial';

/** Orders this soon after a thaw or a healed link are excused, by the platform's pages. */
const THAW_MS = 300;
const RECOVER_MS = 12_000;
const POLL_MS = 300;
const ADAPTERS = 24;

const cli = meow(
  `Usage: npm run soak -- [options]
  --seeds A,B,C      seeds to play (default: 1)
  --from N --count N seeds N, N + 1, ... instead
  --seconds N        how long faults come (default: 12)
  --vms N            entry VMs (default: 4)
  --engines N        model servers (default: 3)
  --network N        second number of the loopback addresses (default: 70)`,
  {
    importMeta: import.meta,
    flags: {
      seeds: { type: 'string', default: '1' },
      from: { type: 'number' },
      count: { type: 'number', default: 1 },
      seconds: { type: 'number', default: 12 },
      vms: { type: 'number', default: 4 },
      engines: { type: 'number', default: 3 },
      network: { type: 'number', default: 70 },
    },
  },
);
const { from, count, seconds, vms, engines, network } = cli.flags;
const seeds =
  from === undefined
    ? cli.flags.seeds.split(',').map(Number)
    : Array.from({ length: count }, (_, index) => from + index);

/** Plays one seed; answers what was wrong. */
async function playSeed(seed: number): Promise<string[]> {
  const random = createRandom(seed);
  const notes: string[] = [];
  const startedAt = Date.now();
  const note = (text: string) => notes.push(`${Date.now()} +${Date.now() - startedAt} ${text}`);
  const trial = createPlatformTrial({ vms, engines, network });
  const end = () => trial.stop().then(() => process.exit(2));
  process.once('SIGTERM', end);
  process.once('SIGINT', end);
  await trial.start();
  const callers = createCallers(trial, {
    name: String(seed),
    random,
    adapters: ADAPTERS,
    pauseMs: 12,
  });
  const faults = createFaults(trial, callers, { random, adapters: ADAPTERS, note });
  const calling = callers.run();
  await faults.run(seconds * 1000, 900);
  note('all faults are over');
  const isBack = await waitUntilServed(trial, callers, seed);
  await callers.stop();
  await calling;

  const ledger = await trial.getLedger();
  const wrong = callers.judge(ledger);
  const isExcused = (order: { holder: string; at: number }) => {
    const vm = trial.vms.find((name) => trial.getAddress(name, 7380) === order.holder)!;
    return faults.wasHealedWithin(vm, order.at, THAW_MS);
  };
  ledger.faults
    .filter((fault) => !isExcused(fault) && !(fault.former && isExcused(fault.former)))
    .forEach(({ at, holder, text, former }) =>
      wrong.push(`${at} ${holder} ${text} ${JSON.stringify(former)}`),
    );
  trial.exits.forEach(({ name, exit }) => wrong.push(`${name} ended: ${JSON.stringify(exit)}`));
  trial.vms
    .filter((vm) => trial.getLog(vm).includes('"name":"unexpected"'))
    .forEach((vm) => wrong.push(`${vm} logged an unexpected error`));
  if (!isBack) {
    wrong.push('not every VM served each kind of request again');
  }
  await trial.stop();
  process.off('SIGTERM', end);
  process.off('SIGINT', end);
  const answers = callers.getAnswers();
  const served = answers.filter(({ status }) => status === 200).length;
  process.stdout.write(
    `${JSON.stringify({ seed, sent: answers.length, served, orders: ledger.orders, wrong })}\n`,
  );
  if (wrong.length > 0) {
    keepLogs(seed, { notes, wrong, answers, ledger }, trial);
  }
  return wrong;
}

/** Whether each VM serves each kind of request within the time for a recovery. */
async function waitUntilServed(
  trial: ReturnType<typeof createPlatformTrial>,
  callers: ReturnType<typeof createCallers>,
  seed: number,
): Promise<boolean> {
  const missing = trial.vms.flatMap((vm) =>
    (['chat', 'hold', 'look'] as const).map((kind) => ({ vm, kind })),
  );
  const until = Date.now() + RECOVER_MS;
  for (let round = 0; missing.length > 0 && Date.now() < until; round += 1) {
    for (const { vm, kind } of missing.splice(0)) {
      const id = `${seed}-back-${round}-${vm}-${kind}`;
      const { status } = await callers.send(id, kind, 'a1', trial.getAddress(vm, 8080));
      if (status !== 200) {
        missing.push({ vm, kind });
      }
    }
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
  return missing.length === 0;
}

function keepLogs(
  seed: number,
  seen: unknown,
  trial: ReturnType<typeof createPlatformTrial>,
): void {
  const folder = `soak-logs/${seed}`;
  mkdirSync(folder, { recursive: true });
  writeFileSync(`${folder}/seen.json`, JSON.stringify(seen, undefined, 1));
  trial.vms.forEach((vm) => writeFileSync(`${folder}/${vm}.log`, trial.getLog(vm)));
}

const failed: number[] = [];
for (const seed of seeds) {
  const wrong = await playSeed(seed);
  if (wrong.length > 0) {
    failed.push(seed);
  }
}
process.stdout.write(`${JSON.stringify({ seeds: seeds.length, failed })}\n`);
process.exit(failed.length > 0 ? 1 : 0);
