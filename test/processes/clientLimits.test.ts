import createPlatformTrial from '../../scripts/platform/createPlatformTrial';
import clientSenders from './clientSenders';
import pollAnswer from './pollAnswer';
import runUncontrolledClients from './runUncontrolledClients';

const NETWORK = 62;
const CALLER_PORT = 8080;
const FORWARD_PORT = 7381;
const MESH_PORT = 7380;
const METRICS_PORT = 9464;
/** Settings of the VMs: a memory smaller than any of the deployments', so that few clients suffice. */
const RAM_MB = 190;
const HEAP_MB = 80;
const MAX_FDS = 320;
const MAX_BODY_BYTES = 4_194_304;
const REQUEST_TIMEOUT_MS = 20_000;
/** Number of clients in each case. */
const CLIENTS = 48;
const IDLE_CLIENTS = 360;

type Senders = typeof clientSenders;
type Sender = ReturnType<Senders[keyof Senders]>;

/**
 * Guards against an entry VM that runs out of memory or descriptors, or hangs, since clients send
 * bodies that do not end, requests without reading responses, or open many connections.
 */
describe('clients outside the limits of a VM', () => {
  let trial: ReturnType<typeof createPlatformTrial>;
  let vm: string;

  before(async () => {
    trial = createPlatformTrial({
      vms: 2,
      engines: 1,
      network: NETWORK,
      nodeArguments: [`--max-old-space-size=${HEAP_MB}`],
      limits: [`RamMb = ${RAM_MB}`, `MaxFds = ${MAX_FDS}`],
      maxBodyBytes: MAX_BODY_BYTES,
    });
    await trial.start();
    await trial.setManifest(2, REQUEST_TIMEOUT_MS);
    [vm] = trial.vms;
  });

  after(() => trial.stop());

  /** Each case gets a process of its own, as the peak of its memory counts. */
  beforeEach(async () => {
    await trial.endProcess(vm, 'SIGKILL');
    trial.exits.splice(0);
    trial.startVm(vm);
    await trial.waitUntilReady(vm);
    await getAnswer(CALLER_PORT, '/look/x');
  });

  function getAnswer(port: number, path: string): Promise<void> {
    return pollAnswer(`http://${trial.getAddress(vm, port)}${path}`, { host: 'trial.example' });
  }

  async function runCase(port: number, senders: Sender[], count = CLIENTS): Promise<void> {
    await runUncontrolledClients({
      address: trial.getAddress(vm, port),
      pid: trial.getPid(vm)!,
      senders,
      count,
      bounds: { residentMb: RAM_MB, descriptors: MAX_FDS },
      getExits: () => trial.exits,
      getAnswer: async () => {
        await getAnswer(CALLER_PORT, '/look/x');
        await getAnswer(METRICS_PORT, '/metrics');
      },
    });
  }

  const bodyCases: [string, (keyof Senders)[]][] = [
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

  describe('on the address for callers', () => {
    bodyCases.forEach(([name, kinds]) => {
      it(`survives ${name}`, () =>
        runCase(
          CALLER_PORT,
          kinds.map((kind) => clientSenders[kind]('/hold/x')),
        ));
    });

    it('survives pipelined requests whose responses are never read', () =>
      runCase(CALLER_PORT, [clientSenders.pipelined('/look/x')]));

    it('survives pipelined requests with large responses that are never read', () =>
      runCase(CALLER_PORT, [clientSenders.pipelinedLarge('/look/large')]));

    it('survives large responses that are never read', () =>
      runCase(CALLER_PORT, [clientSenders.unreadResponse('/look/huge')]));

    it('survives streams that are never read', () =>
      runCase(CALLER_PORT, [clientSenders.unreadStream('/chat/endless')]));

    it('survives more connections than it has descriptors for', () =>
      runCase(CALLER_PORT, [clientSenders.nothing()], IDLE_CLIENTS));
  });

  describe('on the address for requests of other VMs', () => {
    bodyCases.forEach(([name, kinds]) => {
      it(`survives ${name}`, () =>
        runCase(
          FORWARD_PORT,
          kinds.map((kind) => clientSenders[kind]('/hold/x')),
        ));
    });

    it('survives pipelined requests whose responses are never read', () =>
      runCase(FORWARD_PORT, [clientSenders.pipelined('/look/x')]));

    it('survives more connections than it has descriptors for', () =>
      runCase(FORWARD_PORT, [clientSenders.nothing()], IDLE_CLIENTS));
  });

  describe('on the address of the mesh', () => {
    it('survives frames that do not end', () =>
      runCase(MESH_PORT, [
        async (write) => {
          const prefix = Buffer.alloc(4);
          prefix.writeUInt32BE(4_000_000);
          await write(prefix);
          for (let sent = 0; sent < 3_900_000; sent += 65_536) {
            if (!(await write(Buffer.alloc(65_536, 'x')))) {
              return;
            }
          }
        },
      ]));

    it('survives more connections than it has descriptors for', () =>
      runCase(MESH_PORT, [clientSenders.nothing()], IDLE_CLIENTS));
  });

  describe('on the address of the metrics', () => {
    bodyCases.forEach(([name, kinds]) => {
      it(`survives ${name}`, () =>
        runCase(
          METRICS_PORT,
          kinds.map((kind) => clientSenders[kind]('/metrics')),
        ));
    });

    it('survives pipelined requests whose responses are never read', () =>
      runCase(METRICS_PORT, [clientSenders.pipelined('/metrics')]));

    it('survives more connections than it has descriptors for', () =>
      runCase(METRICS_PORT, [clientSenders.nothing()], IDLE_CLIENTS));
  });
});
