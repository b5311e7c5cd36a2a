import { expect } from 'chai';
import fc from 'fast-check';
import matrixFaults from './matrixFaults';
import runMatrixCase from './runMatrixCase';

const SEED = 20261204;
const RUN_COUNT = 40;
const SETUP_LINES = [
  'vms 4',
  'engine e1 slots 2 ignores',
  'engine e2 slots 1 checks',
  ...['a', 'b', 'c', 'd'].map((name) => `adapter ${name} v1`),
  'start',
  'let O be owner',
  'let B be other',
  'let C be other',
  'let D be other',
];
const RECOVERY_LINES = [
  'wait 15s',
  'request probe a@v1 at D',
  'wait 12s',
  'expect probe answered a@v1',
  'edit last a weight 9 at D',
  'wait 3s',
  'expect last answered',
  'expect in force within 4s',
  'expect owner one',
];

const stepArbitrary = fc.record({
  fault: fc.nat(matrixFaults.length - 1),
  adapter: fc.constantFrom('a', 'b', 'c', 'd'),
  vm: fc.constantFrom('B', 'C', 'D'),
  kind: fc.constantFrom('request', 'book', 'edit'),
  tokens: fc.integer({ min: 2, max: 150 }),
  waitMs: fc.integer({ min: 1, max: 2500 }),
});

/**
 * Returns a scenario in which each step injects a fault and sends a request. The lines that remove
 * the faults run at the end. Killed VMs stay down, and no fault targets `D`.
 */
function createScenarioText(steps: Step[]): string {
  const killedVms = new Set<string>();
  const lines = steps.flatMap((randomStep, index) => {
    const fault = matrixFaults[randomStep.fault];
    const killTargets = fault.inject
      .filter((line) => line.startsWith('kill'))
      .map((line) => line.slice(5));
    const isAlreadyKilled = killTargets.some((target) => killedVms.has(target));
    killTargets.forEach((target) => killedVms.add(target));
    const vm = killedVms.has(randomStep.vm) ? 'D' : randomStep.vm;
    const workLine = {
      request: `request r${index} ${randomStep.adapter}@v1 at ${vm} tokens ${randomStep.tokens}`,
      book: `book r${index} key k${index % 3} at ${vm}`,
      edit: `edit r${index} ${randomStep.adapter} weight ${index + 2} at ${vm}`,
    }[randomStep.kind];
    return [...(isAlreadyKilled ? [] : fault.inject), workLine, `wait ${randomStep.waitMs}`];
  });
  const healLines = steps.flatMap((randomStep) => matrixFaults[randomStep.fault].heal);
  return [...SETUP_LINES, ...lines, 'wait 3s', ...healLines, ...RECOVERY_LINES].join('\n');
}

interface Step {
  fault: number;
  adapter: string;
  vm: string;
  kind: 'request' | 'book' | 'edit';
  tokens: number;
  waitMs: number;
}

describe('sequences of requests and faults', () => {
  it('violate no invariant', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, { minLength: 3, maxLength: 8, size: 'max' }),
        async (steps) => {
          const { violations } = await runMatrixCase(createScenarioText(steps));
          expect(violations).to.deep.equal([]);
        },
      ),
      { seed: SEED, numRuns: RUN_COUNT },
    );
  });
});
