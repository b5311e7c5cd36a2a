/**
 * Runs entry VMs and the stand-in for the platform as separate processes, injects random faults from
 * outside and checks the records of callers and servers. `npm run soak -- --help` lists the options.
 * Exits with status 1 if a seed failed; that seed's logs are kept in `soak-logs/SEED`.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import meow from 'meow';
import createRandom from '../bench/createRandom';
import createCallers from './platform/createCallers';
import createNoticeFaults from './platform/createNoticeFaults';
import getNoticeViolations from './platform/getNoticeViolations';
import createLimitFaults from './platform/createLimitFaults';
import getLimitUses from './platform/getLimitUses';
import createFaults from './platform/createFaults';
import createPlatformTrial from './platform/createPlatformTrial';

/**
 * The platform's specification tolerates conflicting commands for this time after a VM is resumed or
 * its link restored.
 */
const RESUME_TOLERANCE_MS = 300;
const RECOVERY_TIMEOUT_MS = 12_000;
const POLL_MS = 300;
/**
 * Part of the requests that crash servers: by a part of their prompts in every second seed, as a whole in
 * the others.
 */
const CRASHING_SHARE = 0.03;
const CONTACT_MS = 3000;
/** One in this many seeds also plays servers that state limits. */
const LIMITED_SEEDS = 3;
/** One in this many seeds also plays servers that leave or want no requests by their responses. */
const NOTICED_SEEDS = 3;
/** One in this many seeds also plays a key-value service that comes back from older copies. */
const RESTORED_SEEDS = 4;
const MAX_OLDER_MS = 9000;
const MAX_AWAY_MS = 2500;
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

/** Runs one seed and returns the violations found. */
async function runSeed(seed: number): Promise<string[]> {
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
    crashingShare: seed % 2 === 0 ? CRASHING_SHARE : undefined,
    crashingRequestShare: seed % 2 === 1 ? CRASHING_SHARE : undefined,
  });
  const faults = createFaults(trial, callers, { random, adapters: ADAPTERS, log: note });
  const limitFaults = createLimitFaults(trial, { random: createRandom(seed + 1), log: note });
  const noticeFaults = createNoticeFaults(trial, { random: createRandom(seed + 3), log: note });
  const callersRun = callers.run();
  await Promise.all([
    faults.run(seconds * 1000, 900),
    seed % LIMITED_SEEDS === 0 ? limitFaults.run() : undefined,
    seed % NOTICED_SEEDS === 1 ? noticeFaults.run(seconds * 1000) : undefined,
    seed % RESTORED_SEEDS === 1 ? restoreStore(trial, seed, note) : undefined,
  ]);
  note('all faults are over');
  const isRecovered = await waitUntilServed(trial, callers, seed);
  await callers.stop();
  await callersRun;

  const record = await trial.getExecutionRecord();
  const violations = callers.getViolations(record);
  const isTolerated = (command: { holder: string; at: number }) => {
    const vm = trial.vms.find((name) => trial.getAddress(name, 7380) === command.holder)!;
    return faults.hasRecoveredWithin(vm, command.at, RESUME_TOLERANCE_MS);
  };
  record.faults
    .filter((fault) => !isTolerated(fault) && !(fault.former && isTolerated(fault.former)))
    .forEach(({ at, holder, text, former }) =>
      violations.push(`${at} ${holder} ${text} ${JSON.stringify(former)}`),
    );
  const crashViolations = callers.getCrashViolations(record, (vm, at) => {
    const name = trial.vms.find((candidate) => trial.getAddress(candidate, 8080) === vm)!;
    return faults.wasDisturbedWithin(name, at, CONTACT_MS);
  });
  violations.push(...crashViolations, ...callers.getMixedViolations());
  const sentTo = new Map(callers.getResults().map(({ id, vm }) => [id, vm]));
  const requests = new Map(callers.getResults().map((result) => [result.id, result]));
  const noticeViolations = getNoticeViolations(
    record,
    (id) => requests.get(id),
    (vm, at) => {
      const name = trial.vms.find((candidate) => trial.getAddress(candidate, 8080) === vm)!;
      return faults.wasDisturbedWithin(name, at, CONTACT_MS);
    },
  );
  violations.push(...noticeViolations);
  const limitUses = getLimitUses(record, ({ id, at }) => {
    const name = trial.vms.find((vm) => trial.getAddress(vm, 8080) === sentTo.get(id))!;
    return faults.wasDisturbedWithin(name, at, CONTACT_MS);
  });
  violations.push(...limitUses.flatMap((use) => use.violations.slice(0, 1)));
  trial.exits.forEach(({ name, exit }) =>
    violations.push(`${name} ended: ${JSON.stringify(exit)}`),
  );
  trial.vms
    .filter((vm) => trial.getLog(vm).includes('"name":"unexpected"'))
    .forEach((vm) => violations.push(`${vm} logged an unexpected error`));
  if (!isRecovered) {
    violations.push('not every VM served each kind of request again');
  }
  await trial.stop();
  process.off('SIGTERM', end);
  process.off('SIGINT', end);
  const results = callers.getResults();
  const served = results.filter(({ status }) => status === 200).length;
  process.stdout.write(
    `${JSON.stringify({ seed, sent: results.length, served, orders: record.orders, limits: getUsedShare(limitUses), ...callers.getTakenUp(), wrong: violations })}\n`,
  );
  if (violations.length > 0) {
    keepLogs(seed, { notes, wrong: violations, answers: results, ledger: record }, trial);
  }
  return violations;
}

/** Brings the key-value service back from an older copy, twice during a run. */
async function restoreStore(
  trial: ReturnType<typeof createPlatformTrial>,
  seed: number,
  note: (text: string) => void,
): Promise<void> {
  const random = createRandom(seed + 2);
  for (let round = 0; round < 2; round += 1) {
    await new Promise((resolve) => {
      setTimeout(resolve, (random() * seconds * 1000) / 2);
    });
    const olderByMs = random() * MAX_OLDER_MS;
    const awayMs = random() * MAX_AWAY_MS;
    note(`the store is away for ${awayMs} ms and comes back older by ${olderByMs} ms`);
    await trial.post('restore', { olderByMs, awayMs });
    await new Promise((resolve) => {
      setTimeout(resolve, awayMs);
    });
  }
}

/** Returns the part of all limits that requests took; undefined if no server stated one. */
function getUsedShare(limitUses: ReturnType<typeof getLimitUses>): number | undefined {
  const allowed = limitUses.reduce((sum, use) => sum + use.allowed, 0);
  const arrived = limitUses.reduce((sum, use) => sum + use.arrived, 0);
  return allowed > 0 ? Math.round((100 * arrived) / allowed) / 100 : undefined;
}

/** Returns whether each VM serves each kind of request within the recovery timeout. */
async function waitUntilServed(
  trial: ReturnType<typeof createPlatformTrial>,
  callers: ReturnType<typeof createCallers>,
  seed: number,
): Promise<boolean> {
  const unserved = trial.vms.flatMap((vm) =>
    (['chat', 'hold', 'look'] as const).map((kind) => ({ vm, kind })),
  );
  const deadline = Date.now() + RECOVERY_TIMEOUT_MS;
  for (let round = 0; unserved.length > 0 && Date.now() < deadline; round += 1) {
    for (const { vm, kind } of unserved.splice(0)) {
      const id = `${seed}-back-${round}-${vm}-${kind}`;
      const { status } = await callers.send(id, kind, 'a1', trial.getAddress(vm, 8080));
      if (status !== 200) {
        unserved.push({ vm, kind });
      }
    }
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
  return unserved.length === 0;
}

function keepLogs(
  seed: number,
  details: unknown,
  trial: ReturnType<typeof createPlatformTrial>,
): void {
  const folder = `soak-logs/${seed}`;
  mkdirSync(folder, { recursive: true });
  writeFileSync(`${folder}/seen.json`, JSON.stringify(details, undefined, 1));
  trial.vms.forEach((vm) => writeFileSync(`${folder}/${vm}.log`, trial.getLog(vm)));
}

const failed: number[] = [];
for (const seed of seeds) {
  const violations = await runSeed(seed);
  if (violations.length > 0) {
    failed.push(seed);
  }
}
process.stdout.write(`${JSON.stringify({ seeds: seeds.length, failed })}\n`);
process.exit(failed.length > 0 ? 1 : 0);
