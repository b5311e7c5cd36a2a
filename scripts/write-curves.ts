/** Plots mean stall and batch fill by stall weight to docs/curves.svg and prints the figures. */
import { readFileSync } from 'node:fs';
import getArrivals from '../bench/getArrivals';
import createLruPolicy from '../bench/policies/createLruPolicy';
import runPolicy from '../bench/runPolicy';
import Workload from '../bench/Workload';
import createValuePolicy from '../src/pool/createValuePolicy';
import writePlot from './writePlot';

const WEIGHTS = [0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1];
const WORKLOADS = ['maraval-ordinary', 'pritchard-ordinary'];

const points = WORKLOADS.flatMap((name) => {
  const file = JSON.parse(readFileSync(`bench/workloads/${name}.json`, 'utf8'));
  const base = Workload.parse(file);
  const arrivals = getArrivals(base);
  const lru = runPolicy(base, arrivals, createLruPolicy());
  return WEIGHTS.map((stallWeight) => {
    const result = runPolicy({ ...base, stallWeight }, arrivals, createValuePolicy());
    return {
      workload: name,
      stallWeight,
      stallMean: result.stallMeanMs / lru.stallMeanMs,
      batchFill: result.batchFill / lru.batchFill,
    };
  });
});

const getLayer = (field: string, title: string) => ({
  width: 360,
  height: 220,
  title,
  mark: { type: 'line' as const, point: true },
  encoding: {
    x: { field: 'stallWeight', type: 'quantitative' as const, title: 'stall weight' },
    y: {
      field,
      type: 'quantitative' as const,
      title: 'ratio to lru-least-loaded',
      scale: { zero: false },
    },
    color: { field: 'workload', type: 'nominal' as const },
  },
});

async function main(): Promise<void> {
  await writePlot('docs/curves.svg', {
    data: { values: points },
    hconcat: [
      getLayer('stallMean', 'Mean stall (lower is better)'),
      getLayer('batchFill', 'Batch fill (higher is better)'),
    ],
  });
  points.forEach((point) =>
    process.stdout.write(
      `${point.workload} ${point.stallWeight} stall ${point.stallMean.toFixed(2)} fill ${point.batchFill.toFixed(2)}\n`,
    ),
  );
}

main();
