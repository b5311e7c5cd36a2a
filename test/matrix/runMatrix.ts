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
  faultNames: string;
  phases: string;
  verdict: 'held' | 'refused safely' | 'red';
  violations: string;
}

/** Runs each step with each fault in each phase, and random pairs of faults from a fixed seed. */
export default async function runMatrix(): Promise<{
  single: MatrixResult[];
  pairs: MatrixResult[];
}> {
  const single: MatrixResult[] = [];
  const pairs: MatrixResult[] = [];

  for (const step of matrixSteps) {
    for (const fault of matrixFaults) {
      for (const phase of PHASES) {
        single.push(await runCase(step, [{ fault, phase }]));
      }
    }
  }
  const random = createRandom(PAIR_SEED);
  const pickRandom = <Value>(values: readonly Value[]) =>
    values[Math.floor(random() * values.length)];
  for (let index = 0; index < PAIR_COUNT; index += 1) {
    const faultCases = [0, 1].map(() => ({
      fault: pickRandom(matrixFaults),
      phase: pickRandom(PHASES),
    }));
    pairs.push(await runCase(pickRandom(matrixSteps), faultCases));
  }
  return { single, pairs };
}

async function runCase(
  step: (typeof matrixSteps)[number],
  faultCases: { fault: (typeof matrixFaults)[number]; phase: (typeof PHASES)[number] }[],
): Promise<MatrixResult> {
  const { verdict, violations } = await runMatrixCase(getMatrixScenario(step, faultCases));
  return {
    step: step.name,
    faultNames: faultCases.map(({ fault }) => fault.name).join(' + '),
    phases: faultCases.map(({ phase }) => phase).join(' + '),
    verdict,
    violations: violations.join('; ').slice(0, 300),
  };
}
