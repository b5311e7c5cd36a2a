import { expect } from 'chai';
import fc from 'fast-check';
import matrixFaults from './matrixFaults';
import runMatrixCase from './runMatrixCase';

const SEED = 20261204;
const RUNS = 40;
const START = [
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
const END = [
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

const step = fc.record({
  fault: fc.nat(matrixFaults.length - 1),
  adapter: fc.constantFrom('a', 'b', 'c', 'd'),
  vm: fc.constantFrom('B', 'C', 'D'),
  kind: fc.constantFrom('request', 'book', 'edit'),
  tokens: fc.integer({ min: 2, max: 150 }),
  waitMs: fc.integer({ min: 1, max: 2500 }),
});

/** Work and faults in random turns; faults heal at the end, and D is never a victim. */
function getScenario(steps: Step[]): string {
  const killed = new Set<string>();
  const lines = steps.flatMap((one, index) => {
    const fault = matrixFaults[one.fault];
    const victims = fault.inject.filter((line) => line.startsWith('kill')).map((l) => l.slice(5));
    const isRepeated = victims.some((victim) => killed.has(victim));
    victims.forEach((victim) => killed.add(victim));
    const vm = killed.has(one.vm) ? 'D' : one.vm;
    const work = {
      request: `request r${index} ${one.adapter}@v1 at ${vm} tokens ${one.tokens}`,
      book: `book r${index} key k${index % 3} at ${vm}`,
      edit: `edit r${index} ${one.adapter} weight ${index + 2} at ${vm}`,
    }[one.kind];
    return [...(isRepeated ? [] : fault.inject), work, `wait ${one.waitMs}`];
  });
  const heal = steps.flatMap((one) => matrixFaults[one.fault].heal);
  return [...START, ...lines, 'wait 3s', ...heal, ...END].join('\n');
}

interface Step {
  fault: number;
  adapter: string;
  vm: string;
  kind: 'request' | 'book' | 'edit';
  tokens: number;
  waitMs: number;
}

describe('sequences of work and faults', () => {
  it('break nothing that must always hold', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, { minLength: 3, maxLength: 8, size: 'max' }),
        async (steps) => {
          const { faults } = await runMatrixCase(getScenario(steps));
          expect(faults).to.deep.equal([]);
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });
});
