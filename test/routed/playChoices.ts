import type Candidate from '../../src/upstream/Candidate';

const INTERVAL_MS = 250;
const LAG_MS = 60;
const DATA_CENTRES = 4;
const REQUESTS_IN_WINDOW = 100;
const SLOW_FACTOR = 2.5;
const SLOW_PHASE_MS = 600;
const SLOW_PART = 0.15;

interface Job {
  upstream: number;
  vm: number;
  arrivedAt: number;
  workMs: number;
}

interface Play {
  vms: number;
  /** Speeds of the upstreams relative to their mean. */
  speeds: number[];
  slots: number;
  perSecond: number;
  workMs: number;
  objectiveMs: number;
  durationMs: number;
  random(): number;
  choose(candidates: Candidate[], dataCentre: string): Candidate | undefined;
}

/**
 * Plays requests of many VMs at uneven upstreams, each with its own speed, phases in which it is slow,
 * and a queue in front of its slots. VMs see the counts of the others, and the durations of the moment,
 * as they were at the last report, up to 310 ms before.
 */
export default function playChoices(play: Play) {
  const { random } = play;
  const upstreams = play.speeds.map((speed, index) => ({
    id: `u${index}`,
    dataCentre: `d${index % DATA_CENTRES}`,
    speed,
    slowUntil: 0,
    nextSlowAt: random() * (SLOW_PHASE_MS / SLOW_PART),
    running: 0,
    queue: [] as Job[],
    served: 0,
  }));
  const counts = createCounts(play.vms, upstreams.length);
  const reports: { at: number; counts: number[][]; durations: number[] }[] = [];
  const ends: { at: number; job: Job }[] = [];
  const chosen: number[] = [];
  const latencies: number[] = [];
  let nextArrivalAt = 0;

  const getDuration = (now: number, index: number) => {
    const upstream = upstreams[index];
    if (now >= upstream.nextSlowAt) {
      upstream.slowUntil = upstream.nextSlowAt + SLOW_PHASE_MS;
      upstream.nextSlowAt += SLOW_PHASE_MS / SLOW_PART;
    }
    return (now < upstream.slowUntil ? SLOW_FACTOR : 1) / upstream.speed;
  };
  const begin = (now: number, job: Job) => {
    upstreams[job.upstream].running += 1;
    const at = now + job.workMs * getDuration(now, job.upstream);
    ends.push({ at, job });
  };
  const end = (now: number, job: Job) => {
    const upstream = upstreams[job.upstream];
    upstream.running -= 1;
    upstream.served += 1;
    latencies.push(now - job.arrivedAt);
    counts.add(job.vm, job.upstream, -1);
    const next = upstream.queue.shift();
    if (next) {
      begin(now, next);
    }
  };

  for (let now = 0; now < play.durationMs; now += 1) {
    if (now % INTERVAL_MS === 0) {
      reports.push({
        at: now + LAG_MS,
        counts: counts.take(),
        durations: upstreams.map((_, index) => getDuration(now, index)),
      });
    }
    for (let index = ends.length - 1; index >= 0; index -= 1) {
      if (ends[index].at <= now) {
        const [{ job }] = ends.splice(index, 1);
        end(now, job);
      }
    }
    while (reports.length > 1 && reports[1].at <= now) {
      reports.shift();
    }
    while (nextArrivalAt <= now) {
      nextArrivalAt += (-Math.log(1 - random()) * 1000) / play.perSecond;
      const vm = Math.floor(random() * play.vms);
      const [report] = reports;
      const candidates = upstreams.map(({ id, dataCentre }, index): Candidate => ({
        id,
        dataCentre,
        slots: play.slots,
        inFlight: getSum(report.counts, index) - report.counts[vm][index] + counts.get(vm, index),
        waitMs: 0,
        failureRate: 0,
        // The moving average of today sees the mean of fast and slow phases, within its bounds.
        relativeLatency: Math.min(8, Math.max(0.7, 1 / upstreams[index].speed)),
        duration: report.durations[index],
        isLoadStated: true,
        isSuspended: false,
      }));
      const candidate = play.choose(candidates, `d${vm % DATA_CENTRES}`)!;
      const upstream = candidates.findIndex(({ id }) => id === candidate.id);
      chosen.push(upstream);
      counts.add(vm, upstream, 1);
      const workMs = play.workMs * (0.5 + random());
      const job = { upstream, vm, arrivedAt: now, workMs };
      if (upstreams[upstream].running < play.slots) {
        begin(now, job);
      } else {
        upstreams[upstream].queue.push(job);
      }
    }
  }
  return getFigures(play, chosen, latencies);
}

/** Counts the requests in flight of each VM at each upstream. */
function createCounts(vms: number, upstreams: number) {
  const counts = Array.from({ length: vms }, () => Array.from({ length: upstreams }, () => 0));
  return {
    add: (vm: number, upstream: number, difference: number) => {
      counts[vm][upstream] += difference;
    },
    get: (vm: number, upstream: number) => counts[vm][upstream],
    take: () => counts.map((own) => [...own]),
  };
}

function getSum(counts: number[][], upstream: number): number {
  return counts.reduce((sum, own) => sum + own[upstream], 0);
}

function getFigures(play: Play, chosen: number[], latencies: number[]) {
  const speedSum = play.speeds.reduce((sum, speed) => sum + speed, 0);
  const getShares = (indices: number[]) =>
    play.speeds.map(
      (speed, index) =>
        indices.filter((other) => other === index).length / indices.length / (speed / speedSum),
    );
  const mean = play.speeds.map(
    (_, index) =>
      (chosen.filter((other) => other === index).length / chosen.length) * play.speeds.length,
  );
  // Windows in which one upstream gets far more than its share, beyond what chance alone gives.
  let worstWindow = 0;
  for (let from = 0; from + REQUESTS_IN_WINDOW <= chosen.length; from += REQUESTS_IN_WINDOW) {
    const shares = getShares(chosen.slice(from, from + REQUESTS_IN_WINDOW));
    worstWindow += Math.max(...shares);
  }
  const sorted = [...latencies].sort((left, right) => left - right);
  return {
    latePart: latencies.filter((ms) => ms > play.objectiveMs).length / latencies.length,
    medianMs: sorted[Math.floor(sorted.length / 2)],
    ms99: sorted[Math.floor(sorted.length * 0.99)],
    /** Largest number of requests of one upstream, as a multiple of the mean. */
    busiestOfMean: Math.max(...mean),
    /** Largest number of requests of one upstream, as a multiple of its share by speed. */
    busiestOfShare: Math.max(...getShares(chosen)),
    /** Mean over windows of 100 requests of the largest multiple of its share that an upstream got. */
    busiestInWindow: worstWindow / Math.floor(chosen.length / REQUESTS_IN_WINDOW),
  };
}
