import createRandom from '../../bench/createRandom';
import getMatrixScenario from './getMatrixScenario';
import matrixFaults from './matrixFaults';
import matrixSteps from './matrixSteps';
import runMatrixCase from './runMatrixCase';

const PHASES = ['before', 'during', 'after'] as const;
const PAIR_SEED = 20261204;
const PAIR_COUNT = 140;

interface MatrixResult {
  step: string;
  faults: string;
  phase: string;
  verdict: 'held' | 'refused safely' | 'red';
  seen: string;
}

/** Runs every fault at every step in every phase, and pairs of faults from a fixed seed. */
export default async function runMatrix(): Promise<{
  single: MatrixResult[];
  pairs: MatrixResult[];
}> {
  const single: MatrixResult[] = [];
  const pairs: MatrixResult[] = [];

  for (const step of matrixSteps) {
    for (const fault of matrixFaults) {
      for (const phase of PHASES) {
        single.push(await run(step, [{ fault, phase }]));
      }
    }
  }
  const random = createRandom(PAIR_SEED);
  const pick = <Value>(values: readonly Value[]) => values[Math.floor(random() * values.length)];
  for (let index = 0; index < PAIR_COUNT; index += 1) {
    const cases = [0, 1].map(() => ({ fault: pick(matrixFaults), phase: pick(PHASES) }));
    pairs.push(await run(pick(matrixSteps), cases));
  }
  return { single, pairs };
}

async function run(
  step: (typeof matrixSteps)[number],
  cases: { fault: (typeof matrixFaults)[number]; phase: (typeof PHASES)[number] }[],
): Promise<MatrixResult> {
  const { verdict, faults } = await runMatrixCase(getMatrixScenario(step, cases));
  return {
    step: step.name,
    faults: cases.map(({ fault }) => fault.name).join(' + '),
    phase: cases.map(({ phase }) => phase).join(' + '),
    verdict,
    seen: faults.join('; ').slice(0, 300),
  };
}
