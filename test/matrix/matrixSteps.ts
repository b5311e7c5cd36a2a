interface MatrixStep {
  name: string;
  /** Lines that prepare the step, after the start of the world. */
  before: string[];
  /** Lines of the step itself. Its request is `step`. */
  lines: string[];
  /** Time from the start of the step to its middle. */
  middle: string;
  /** Time from the start of the step to its usual end. */
  end: string;
}

/** The steps of the fault matrix. `O` owns the pool, `B` and `C` are the other VMs. */
const matrixSteps: MatrixStep[] = [
  {
    name: 'chat',
    before: [],
    lines: ['request step a@v1 at B tokens 40'],
    middle: '300ms',
    end: '1s',
  },
  {
    name: 'booking',
    before: [],
    lines: ['book step key k at B'],
    middle: '20ms',
    end: '100ms',
  },
  {
    name: 'table edit',
    before: [],
    lines: ['edit step a weight 5 at B'],
    middle: '3ms',
    end: '50ms',
  },
  {
    name: 'load',
    before: [],
    lines: ['request step b@v1 at B tokens 20'],
    middle: '120ms',
    end: '800ms',
  },
  {
    name: 'eviction',
    before: ['request f1 c@v1 at B', 'wait 2s', 'request f2 d@v1 at B', 'wait 4s'],
    lines: ['request step b@v1 at B tokens 20', 'request beside a@v1 at C tokens 100'],
    middle: '4ms',
    end: '2s',
  },
  {
    name: 'handover',
    before: ['request beside a@v1 at O tokens 60', 'wait 200ms'],
    lines: ['stop O', 'request step a@v1 at B tokens 40'],
    middle: '4ms',
    end: '3s',
  },
  {
    name: 'planned stop',
    before: ['request beside a@v1 at B tokens 60', 'wait 200ms'],
    lines: ['stop B', 'request step a@v1 at B tokens 40'],
    middle: '300ms',
    end: '3s',
  },
];

export default matrixSteps;
