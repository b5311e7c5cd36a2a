import type matrixFaults from './matrixFaults';
import type matrixSteps from './matrixSteps';

type MatrixStep = (typeof matrixSteps)[number];
type MatrixFault = (typeof matrixFaults)[number];

/** Time of a fault's injection relative to the step. */
type Phase = 'before' | 'during' | 'after';

const SETUP_LINES = [
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

/**
 * Checks that the system serves again after the faults were removed. `C` is usable in every case:
 * no step stops it, and no fault kills, freezes or isolates it.
 */
const RECOVERY_LINES = [
  'wait 12s',
  'request probe a@v1 at C',
  'request cold b@v1 at C',
  'wait 12s',
  'expect probe answered a@v1',
  'expect cold answered b@v1',
  // 'platform lose 1' may still drop the response to this edit. Its result is then known only after
  // the time-out of one call to the key-value service.
  'edit last a weight 9 at C',
  'wait 3s',
  'expect last answered',
  'expect in force within 4s',
  'expect owner one',
];

/** Returns the text of a scenario that runs one step and injects each fault in its phase. */
export default function getMatrixScenario(
  step: MatrixStep,
  faultCases: { fault: MatrixFault; phase: Phase }[],
): string {
  const inject = (phase: Phase) =>
    faultCases
      .filter((faultCase) => faultCase.phase === phase)
      .flatMap((faultCase) => faultCase.fault.inject);
  return [
    ...SETUP_LINES,
    ...step.before,
    ...inject('before'),
    'wait 30ms',
    ...step.lines,
    `wait ${step.delayToMiddle}`,
    ...inject('during'),
    `wait ${step.delayToEnd}`,
    ...inject('after'),
    ...faultCases.flatMap(({ fault }) => [`wait ${fault.duration}`, ...fault.heal]),
    ...RECOVERY_LINES,
  ].join('\n');
}
