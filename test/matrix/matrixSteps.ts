interface MatrixStep {
  name: string;
  /** Lines that prepare the step, run after the cluster has started. */
  before: string[];
  /** Lines of the step. Its request has the name `step`. */
  lines: string[];
  /** Delay from the start of the step to its middle. */
  delayToMiddle: string;
  /** Delay from the middle of the step to a time at which it has usually ended. */
  delayToEnd: string;
}

/** The steps of the fault matrix. VM `O` owns the pool; `B` and `C` are the other VMs. */
const matrixSteps: MatrixStep[] = [
  {
    name: 'chat',
    before: [],
    lines: ['request step a@v1 at B tokens 40'],
    delayToMiddle: '300ms',
    delayToEnd: '1s',
  },
  {
    name: 'booking',
    before: [],
    lines: ['book step key k at B'],
    delayToMiddle: '20ms',
    delayToEnd: '100ms',
  },
  {
    name: 'table edit',
    before: [],
    lines: ['edit step a weight 5 at B'],
    delayToMiddle: '3ms',
    delayToEnd: '50ms',
  },
  {
    name: 'load',
    before: [],
    lines: ['request step b@v1 at B tokens 20'],
    delayToMiddle: '120ms',
    delayToEnd: '800ms',
  },
  {
    name: 'eviction',
    before: ['request f1 c@v1 at B', 'wait 2s', 'request f2 d@v1 at B', 'wait 4s'],
    lines: ['request step b@v1 at B tokens 20', 'request beside a@v1 at C tokens 100'],
    delayToMiddle: '4ms',
    delayToEnd: '2s',
  },
  {
    name: 'handover',
    before: ['request beside a@v1 at O tokens 60', 'wait 200ms'],
    lines: ['stop O', 'request step a@v1 at B tokens 40'],
    delayToMiddle: '4ms',
    delayToEnd: '3s',
  },
  {
    name: 'planned stop',
    before: ['request beside a@v1 at B tokens 60', 'wait 200ms'],
    lines: ['stop B', 'request step a@v1 at B tokens 40'],
    delayToMiddle: '300ms',
    delayToEnd: '3s',
  },
];

export default matrixSteps;
