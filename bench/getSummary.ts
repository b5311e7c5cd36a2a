import type createFakeEngine from './createFakeEngine';
import type Measurements from './Measurements';

/**
 * Returns the figures of a run. Stall times cover the answered requests and the requests refused
 * after a wait.
 */
export default function getSummary(
  measurements: Measurements,
  engines: ReturnType<typeof createFakeEngine>[],
) {
  const { answers, refusedAfterMs } = measurements;
  const refusedAfterWait = refusedAfterMs.filter((waitMs) => waitMs > 0);
  const stalls = sort([...answers.map(({ stallMs }) => stallMs), ...refusedAfterWait]);
  const firstTokens = sort(answers.map(({ firstTokenMs }) => firstTokenMs));
  const micros = sort(measurements.decisionMicros);
  const tokensDone = sum(engines.map((engine) => engine.getTokensDone()));
  const tokensPossible = sum(engines.map((engine) => engine.getTokensPossible()));
  return {
    requests: measurements.requests,
    answered: answers.length,
    refused: refusedAfterMs.length,
    refusedAtOnce: refusedAfterMs.length - refusedAfterWait.length,
    late: answers.filter(({ isLate }) => isLate).length,
    stalledFraction: round(stalls.filter((stall) => stall > 0).length / Math.max(1, stalls.length)),
    stallMeanMs: round(sum(stalls) / Math.max(1, stalls.length)),
    stallP50Ms: round(getQuantile(stalls, 0.5)),
    stallP95Ms: round(getQuantile(stalls, 0.95)),
    stallP99Ms: round(getQuantile(stalls, 0.99)),
    firstTokenP95Ms: round(getQuantile(firstTokens, 0.95)),
    batchFill: round(tokensDone / Math.max(1, tokensPossible)),
    loads: measurements.loads,
    loadsWasted: measurements.loadsWasted,
    mostLoadsInOneSecond: measurements.mostLoadsInOneSecond,
    evictionsInService: measurements.evictionsInService,
    wrongAdapter: measurements.wrongAdapter,
    lost: measurements.requests - answers.length - refusedAfterMs.length,
    doubled: measurements.doubled,
    decisionMicrosP50: round(getQuantile(micros, 0.5)),
    decisionMicrosP99: round(getQuantile(micros, 0.99)),
  };
}

function sort(values: number[]): number[] {
  return values.sort((left, right) => left - right);
}

function sum(values: number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function getQuantile(sorted: number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}

function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
