import type matrixFaults from './matrixFaults';
import type matrixSteps from './matrixSteps';

type MatrixStep = (typeof matrixSteps)[number];
type MatrixFault = (typeof matrixFaults)[number];

/** When a fault strikes, against the step. */
type Phase = 'before' | 'during' | 'after';

const WORLD = [
  'vms 3',
  'engine e1 slots 2 ignores',
  'engine e2 slots 1 checks',
  'adapter a v1',
  'adapter b v1',
  'adapter c v1',
  'adapter d v1',
  'start',
  'let O be owner',
  'let B be other',
  'let C be other',
  'request first a@v1 at C',
  'wait 3s',
];

/** After everything has healed, the system works again. `C` is never the victim. */
const AFTERWARDS = [
  'wait 12s',
  'request probe a@v1 at C',
  'request cold b@v1 at C',
  'wait 12s',
  'expect probe answered a@v1',
  'expect cold answered b@v1',
  // A lost answer may hit this very edit: its outcome is known after one call's time-out.
  'edit last a weight 9 at C',
  'wait 3s',
  'expect last answered',
  'expect in force within 4s',
  'expect owner one',
];

/** Returns the lines of one case of the matrix: a step, and faults each in its phase. */
export default function getMatrixScenario(
  step: MatrixStep,
  cases: { fault: MatrixFault; phase: Phase }[],
): string {
  const inject = (phase: Phase) =>
    cases.filter((one) => one.phase === phase).flatMap((one) => one.fault.inject);
  return [
    ...WORLD,
    ...step.before,
    ...inject('before'),
    'wait 30ms',
    ...step.lines,
    `wait ${step.middle}`,
    ...inject('during'),
    `wait ${step.end}`,
    ...inject('after'),
    ...cases.flatMap(({ fault }) => [`wait ${fault.lasts}`, ...fault.heal]),
    ...AFTERWARDS,
  ].join('\n');
}
