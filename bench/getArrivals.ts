import type Arrival from './Arrival';
import createRandom from './createRandom';
import type Workload from './Workload';

const TOKENS_MEAN = 100;
const TOKENS_MIN = 8;
const TOKENS_MAX = 400;
const DEFERRABLE_SHARE = 0.1;
const SESSION_SHARE = 0.5;
const SESSIONS_PER_ADAPTER = 5;

/** Returns all requests of a workload, ordered by arrival time. */
export default function getArrivals(workload: Workload): Arrival[] {
  const { arrivals } = workload;
  if (arrivals.kind === 'list') {
    return arrivals.requests
      .map((request, index) => ({
        id: String(index),
        model: `${request.adapter}@v1`,
        team: 'a',
        class: request.class,
        priority: request.priority,
        weight: 1,
        tokens: request.tokens,
        arrivedAt: request.atMs,
        startBy: request.atMs + workload.deadlinesMs[request.class],
      }))
      .sort((left, right) => left.arrivedAt - right.arrivedAt);
  }
  const random = createRandom(workload.seed);
  const sums = getZipfSums(workload.adapters, arrivals.exponent);
  const generated: Arrival[] = [];
  let at = getExponential(random, arrivals.ratePerSecond);
  while (at < workload.durationMs) {
    const rotate = getRotation(arrivals.shifts, at);
    const rank = getRank(sums, random());
    const adapter = (rank + rotate) % workload.adapters;
    const requestClass = random() < DEFERRABLE_SHARE ? 'deferrable' : 'interactive';
    const tokens = Math.round(-Math.log(1 - random()) * TOKENS_MEAN);
    const sessionDraw = random();
    generated.push({
      id: String(generated.length),
      model: `a${adapter}@v1`,
      team: adapter % 2 === 0 ? 'a' : 'b',
      class: requestClass,
      priority: 5,
      weight: 1,
      tokens: Math.min(TOKENS_MAX, Math.max(TOKENS_MIN, tokens)),
      arrivedAt: at,
      startBy: at + workload.deadlinesMs[requestClass],
      session:
        sessionDraw < SESSION_SHARE
          ? `${adapter}/${Math.floor((sessionDraw / SESSION_SHARE) * SESSIONS_PER_ADAPTER)}`
          : undefined,
    });
    at += getExponential(random, arrivals.ratePerSecond);
  }
  return generated;
}

function getRotation(shifts: { atMs: number; rotate: number }[], at: number): number {
  return shifts.filter(({ atMs }) => atMs <= at).reduce((sum, { rotate }) => sum + rotate, 0);
}

function getExponential(random: () => number, ratePerSecond: number): number {
  return (-Math.log(1 - random()) * 1000) / ratePerSecond;
}

function getZipfSums(count: number, exponent: number): number[] {
  const sums: number[] = [];
  let sum = 0;
  for (let rank = 1; rank <= count; rank += 1) {
    sum += rank ** -exponent;
    sums.push(sum);
  }
  return sums;
}

function getRank(sums: number[], draw: number): number {
  const target = draw * sums.at(-1)!;
  let low = 0;
  let high = sums.length - 1;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (sums[middle] < target) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}
