/**
 * Runs a load against entry VMs on the stand-in for the platform, checks every response, and
 * compares builds of the product, alternating between them for several rounds.
 * `npm run lab -- --help` lists the options.
 */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import meow from 'meow';
import createRandom from '../bench/createRandom';
import createCallers from './platform/createCallers';
import getNoticeViolations from './platform/getNoticeViolations';
import getPartitionShares from './platform/getPartitionShares';
import type PartitionMode from './platform/PartitionMode';
import getLimitUses from './platform/getLimitUses';
import createPlatformTrial from './platform/createPlatformTrial';
import writePlot from './writePlot';

const KINDS = ['chat', 'resume', 'hold', 'look'] as const;
const PERCENTILES = [50, 90, 99] as const;
const WARM_UP_MS = 2000;
/** Bounds of the contract on servers that fall over, from the contact time on. */
const CONTACT_MS = 3000;
const MAX_FALLS = 2;
const MAX_FALLS_RATIO = 0.1;
const OWN_BUNDLE = 'target/baobablink.cjs';

const cli = meow(
  `Usage: npm run lab -- [options]
  --bundle FILE        build to play, repeatable (default: this checkout's, built now)
  --mixed              play two builds side by side: VMs are replaced by the second one in turn, and back
  --rounds N           rounds of each build, in turn (default: 2)
  --seconds N          length of a round (default: 10)
  --per-second N       requests a second, of all kinds (default: 60)
  --adapters N         adapters that are asked for, some much more often (default: 24)
  --vms N, --engines N entry VMs and model servers (default: 3 and 3)
  --seed N             seed of the load (default: 1)
  --server-fault KIND  fault of all servers during a round (default: none)
  --limit N            requests a second that limited servers state (default: none)
  --limited N          servers of each service that state the limit (default: 1)
  --crashing-share N   part of the chat requests whose prompts crash servers (default: 0)
  --repeated-share N   part of the chat and look requests that come again and crash servers (default: 0)
  --desks N            plain servers (default: 2)
  --leaving N          servers of each service that state that they leave (default: 0)
  --resting N          further servers of each service that want no requests (default: 0)
  --rest-seconds N     time for which they want none (default: 4)
  --partitioned N      VMs that reach no server during a round (default: 0)
  --partition MODE     hang, reset or refused (default: hang)
  --brittle N          plain servers end if they turn more than N requests away in a second
  --json               figures as JSON instead of a table
  --plot FILE          latencies by kind and build as SVG`,
  {
    importMeta: import.meta,
    flags: {
      bundle: { type: 'string', isMultiple: true, default: [OWN_BUNDLE] },
      mixed: { type: 'boolean', default: false },
      rounds: { type: 'number', default: 2 },
      seconds: { type: 'number', default: 10 },
      perSecond: { type: 'number', default: 60 },
      adapters: { type: 'number', default: 24 },
      vms: { type: 'number', default: 3 },
      engines: { type: 'number', default: 3 },
      seed: { type: 'number', default: 1 },
      serverFault: { type: 'string', default: 'none' },
      limit: { type: 'number' },
      limited: { type: 'number', default: 1 },
      crashingShare: { type: 'number', default: 0 },
      repeatedShare: { type: 'number', default: 0 },
      desks: { type: 'number', default: 2 },
      leaving: { type: 'number', default: 0 },
      resting: { type: 'number', default: 0 },
      restSeconds: { type: 'number', default: 4 },
      partitioned: { type: 'number', default: 0 },
      partition: { type: 'string', choices: ['hang', 'reset', 'refused'], default: 'hang' },
      brittle: { type: 'number' },
      json: { type: 'boolean', default: false },
      plot: { type: 'string' },
    },
  },
);
const { flags } = cli;

interface Figures {
  build: string;
  kind: (typeof KINDS)[number];
  sent: number;
  served: number;
  refused: number;
  /** Milliseconds from a request to the end of its response, by percentile. */
  latencies: Record<string, number>;
}

interface Totals {
  sent: number;
  served: number;
  refused: number;
  histogram: Histogram;
}

const totals = new Map<string, Totals>();
const violations: string[] = [];

async function runRound(bundle: string, round: number): Promise<void> {
  const trial = createPlatformTrial({
    vms: flags.vms,
    engines: flags.engines,
    desks: flags.desks,
    network: 90,
    // The bundle of this checkout is built once, in the first round.
    bundle: bundle === OWN_BUNDLE && round === 1 ? undefined : bundle,
  });
  await trial.start();
  const callers = createCallers(trial, {
    name: `round${round}`,
    random: createRandom(flags.seed + round),
    adapters: flags.adapters,
    pauseMs: 1000 / flags.perSecond,
    sendsToAll: flags.partitioned > 0,
    crashingShare: flags.crashingShare,
    crashingRequestShare: flags.repeatedShare,
  });
  const servers = Object.fromEntries(trial.servers.map(({ id }) => [id, flags.serverFault]));
  await trial.post('faults', { servers });
  const limitedServers = ['models', 'desk'].flatMap((service) =>
    trial.servers.filter((server) => server.service === service).slice(0, flags.limited),
  );
  if (flags.limit !== undefined) {
    const limits = limitedServers.map(({ id }) => [id, flags.limit]);
    await trial.post('limits', Object.fromEntries(limits));
  }
  setTimeout(() => stateNotices(trial), WARM_UP_MS);
  const partitioned = trial.vms.slice(0, flags.partitioned);
  setTimeout(
    () => partitioned.forEach((vm) => trial.setPartition(vm, flags.partition as PartitionMode)),
    WARM_UP_MS,
  );
  const startedAt = Date.now();
  const callersRun = callers.run();
  await new Promise((resolve) => {
    setTimeout(resolve, WARM_UP_MS + flags.seconds * 1000);
  });
  if (flags.mixed) {
    await replaceBuilds(trial, [...flags.bundle].reverse());
  }
  await callers.stop();
  await callersRun;
  if (partitioned.length > 0) {
    const shares = getPartitionShares(callers.getResults(), {
      vms: partitioned.map((vm) => trial.getAddress(vm, 8080)),
      from: startedAt + WARM_UP_MS,
      to: startedAt + WARM_UP_MS + flags.seconds * 1000,
    });
    process.stderr.write(
      `served at partitioned VMs: ${shares.there}, at the others: ${shares.elsewhere}\n`,
    );
    if (!shares.isAllowed) {
      violations.push(`partitioned VMs served ${shares.there}, the others ${shares.elsewhere}`);
    }
  }
  const record = await trial.getExecutionRecord();
  if (flags.mixed) {
    const links = trial.vms.filter((vm) => trial.getLog(vm).includes('"badFrame"'));
    process.stderr.write(`${links.length} VMs ended links on messages of another build\n`);
  }
  await trial.stop();
  violations.push(...trial.exits.map(({ name }) => `${name} ended by itself`));
  violations.push(...callers.getViolations(record), ...record.faults.map(({ text }) => text));
  getLimitUses(record, () => false).forEach((use) => {
    violations.push(...use.violations.slice(0, 1));
    const share = (use.arrived / use.allowed).toFixed(2);
    process.stderr.write(`${use.server}: ${share} of its limit used (${use.arrived})\n`);
  });
  violations.push(...callers.getCrashViolations(record), ...callers.getMixedViolations());
  const falls = record.falls.filter(({ at }) => at >= startedAt + WARM_UP_MS + CONTACT_MS);
  process.stderr.write(`${falls.length} brittle servers fell over\n`);
  if (falls.length > MAX_FALLS + flags.desks * MAX_FALLS_RATIO) {
    violations.push(`${falls.length} brittle servers fell over`);
  }
  const requests = new Map(callers.getResults().map((result) => [result.id, result]));
  const noticed = getNoticeViolations(record, (id) => requests.get(id));
  process.stderr.write(`${noticed.length} violations of what servers stated\n`);
  violations.push(...noticed.slice(0, 3));
  const { takenUp, wentOn } = callers.getTakenUp();
  process.stderr.write(`${takenUp} streams taken up, ${wentOn} went on\n`);
  callers
    .getResults()
    .filter(({ sentAt, crash }) => sentAt - startedAt >= WARM_UP_MS && crash === 'none')
    .forEach(({ kind, status, sentAt, endedAt }) => {
      const key = `${bundle} ${kind}`;
      const counts = totals.get(key) ?? { sent: 0, served: 0, refused: 0, histogram: build() };
      totals.set(key, counts);
      counts.sent += 1;
      if (status === 200) {
        counts.served += 1;
        counts.histogram.recordValue(Math.max(1, endedAt - sentAt));
      } else if (status === 503) {
        counts.refused += 1;
      }
    });
}

/** Replaces the VMs one after the other by each of the builds; half of them stay mixed for a while. */
async function replaceBuilds(
  trial: ReturnType<typeof createPlatformTrial>,
  builds: readonly string[],
): Promise<void> {
  for (const bundle of builds) {
    for (const [index, vm] of trial.vms.entries()) {
      await trial.replaceBuild(vm, bundle);
      if (index === Math.floor(trial.vms.length / 2)) {
        await new Promise((resolve) => {
          setTimeout(resolve, flags.seconds * 1000);
        });
      }
    }
  }
}

/** Lets servers of each service state that they leave, or that they want no requests. */
async function stateNotices(trial: ReturnType<typeof createPlatformTrial>): Promise<void> {
  const getIds = (from: number, count: number) =>
    ['models', 'desk'].flatMap((service) =>
      trial.servers
        .filter((server) => server.service === service)
        .slice(from, from + count)
        .map(({ id }) => id),
    );
  const { leaving, resting, restSeconds: seconds } = flags;
  await trial.post('leave', { ids: getIds(0, leaving), recordLagMs: null });
  if (flags.brittle !== undefined) {
    const ids = trial.servers.filter(({ kind }) => kind === 'plain').map(({ id }) => id);
    await trial.post('brittle', { ids, maxTurnedAway: flags.brittle });
  }
  await trial.post('rest', { ids: getIds(leaving, resting), seconds, forMs: seconds * 1000 });
}

function getFigures(): Figures[] {
  return flags.bundle.flatMap((bundle) =>
    KINDS.flatMap((kind) => {
      const counts = totals.get(`${bundle} ${kind}`);
      if (!counts) {
        return [];
      }
      const { sent, served, refused, histogram } = counts;
      const latencies = Object.fromEntries(
        PERCENTILES.map((percentile) => [
          `p${percentile}`,
          histogram.getValueAtPercentile(percentile),
        ]),
      );
      return [{ build: bundle, kind, sent, served, refused, latencies }];
    }),
  );
}

for (let round = 1; round <= flags.rounds; round += 1) {
  for (const bundle of flags.mixed ? flags.bundle.slice(0, 1) : flags.bundle) {
    process.stderr.write(`round ${round} of ${flags.rounds}: ${bundle}\n`);
    await runRound(bundle, round);
  }
}
const figures = getFigures();
if (flags.json) {
  process.stdout.write(`${JSON.stringify({ figures, wrong: violations })}\n`);
} else {
  process.stdout.write('build kind sent served refused p50 p90 p99 (ms)\n');
  figures.forEach(({ build: name, kind, sent, served, refused, latencies }) =>
    process.stdout.write(
      `${[name, kind, sent, served, refused, ...Object.values(latencies)].join(' ')}\n`,
    ),
  );
  violations.forEach((text) => process.stdout.write(`wrong: ${text}\n`));
}
if (flags.plot !== undefined) {
  const values = figures.flatMap(({ build: name, kind, latencies }) =>
    Object.entries(latencies).map(([percentile, ms]) => ({ build: name, kind, percentile, ms })),
  );
  await writePlot(flags.plot, {
    data: { values },
    mark: 'bar',
    encoding: {
      column: { field: 'kind', type: 'nominal' },
      x: { field: 'percentile', type: 'nominal', title: undefined },
      xOffset: { field: 'build', type: 'nominal' },
      y: { field: 'ms', type: 'quantitative', title: 'milliseconds' },
      color: { field: 'build', type: 'nominal' },
    },
  });
}
process.exit(violations.length > 0 ? 1 : 0);
