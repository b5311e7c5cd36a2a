import { execFileSync } from 'node:child_process';
import createTrial from '../../scripts/createTrial';
import clientSenders from './clientSenders';
import pollAnswer from './pollAnswer';
import runUncontrolledClients from './runUncontrolledClients';

const NETWORK = 63;
const ADDRESS = `127.0.${NETWORK + 1}.1`;
const RAM_MB = 190;
const HEAP_MB = 80;
const MAX_FDS = 320;
const MAX_BODY_BYTES = 4_194_304;
/** Number of clients in each case. */
const CLIENTS = 48;
const IDLE_CLIENTS = 360;

type Senders = typeof clientSenders;

/**
 * Guards the product's own interface against running out of memory or descriptors, or hanging, as
 * `clientLimits.test.ts` does for VMs on the platform.
 */
describe('clients outside the limits of the own interface', () => {
  let trial: ReturnType<typeof createTrial>;
  const exits: unknown[] = [];

  before(async () => {
    execFileSync('bash', ['scripts/build.sh'], { stdio: 'pipe' });
    trial = createTrial({
      binary: ['node', `--max-old-space-size=${HEAP_MB}`, 'dist/baobablink.cjs'],
      vms: 1,
      network: NETWORK,
    });
    await trial.start();
    await trial.fillTable(1);
  });

  after(() => trial.stop());

  /** Each case gets a process of its own, as the peak of its memory counts. */
  beforeEach(async () => {
    await trial.stopChild('vm1', 'SIGKILL');
    const child = trial.startVm(1, {
      BAOBABLINK_RAM_MB: String(RAM_MB),
      BAOBABLINK_MAX_FDS: String(MAX_FDS),
      BAOBABLINK_MAX_BODY_BYTES: String(MAX_BODY_BYTES),
    });
    exits.splice(0);
    child.once('exit', (code, signal) => exits.push({ code, signal }));
    await pollAnswer(`http://${ADDRESS}:8080/readyz`, {});
  });

  async function runCase(senders: ReturnType<Senders[keyof Senders]>[], count = CLIENTS) {
    const url = `http://${ADDRESS}:8080/v1/services/desk/x`;
    await runUncontrolledClients({
      address: `${ADDRESS}:8080`,
      pid: trial.getChild('vm1')!.pid!,
      senders,
      count,
      bounds: { residentMb: RAM_MB, descriptors: MAX_FDS },
      getExits: () => exits,
      getAnswer: () => pollAnswer(url, { authorization: `Bearer ${trial.callerKey}` }),
    });
  }

  const cases: [string, (keyof Senders)[]][] = [
    ['bodies in large chunks that stop just short', ['largeChunks']],
    ['bodies in one-byte chunks that stop short', ['oneByteChunks']],
    ['bodies of a declared length that stop just short', ['declaredLength']],
    ['bodies far over the limit, not declared', ['farOver']],
    ['bodies far over the limit, declared', ['farOverDeclared']],
    [
      'all of these at once',
      ['largeChunks', 'oneByteChunks', 'declaredLength', 'farOver', 'farOverDeclared'],
    ],
    ['heads that do not end', ['incompleteHead']],
  ];
  cases.forEach(([name, kinds]) => {
    it(`survives ${name}`, () =>
      runCase(kinds.map((kind) => clientSenders[kind]('/v1/chat/completions'))));
  });

  it('survives pipelined requests whose responses are never read', () =>
    runCase([clientSenders.pipelined('/v1/services/desk/x')]));

  it('survives more connections than it has descriptors for', () =>
    runCase([clientSenders.nothing()], IDLE_CLIENTS));
});
