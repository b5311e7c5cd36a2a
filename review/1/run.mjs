import http from 'node:http';
import createBreakingDesk from '../lib/createBreakingDesk.mjs';
import createDeployment from '../lib/createDeployment.mjs';
import playCase from '../lib/playCase.mjs';
import sendRequest from '../lib/sendRequest.mjs';

const SERVERS = 4;
/** Servers that break off answers, as a share of all. */
const BREAKING_SHARE = 0.5;
/** Answers that have no length, as a share of those of a server. */
const UNFRAMED_SHARE = 0.05;
const WORK_MS = 20;
const PLAY_MS = 40_000;
const SETTLE_MS = 3000;
const CLIENTS_PER_VM = 6;
const CLIENT_PAUSE_MS = 20;
/** Every third request releases a hold, and is answered with 204. */
const RELEASE_EVERY = 3;
const ROUTE = {
  Host: 'orders.example',
  Type: 'non_idempotent',
  TimeoutMs: 2000,
  SloMs: 386,
  Prio: 2,
  Attempts: 1,
  Backend: 'order-desk',
};

await playCase(import.meta.url, 'MIXED', async (record, isTroubled) => {
  const deployment = await createDeployment(record);
  const { net, zones, store, vms, wait } = deployment;
  const answers = new Map();
  const counts = { sent: 0, answered: 0, released: 0, refused: 0, failed: 0, cut: 0 };
  let breaches = 0;

  async function addDesk(index) {
    const id = `i-desk-${index}`;
    const address = `${net}.${100 + index}:9000`;
    const isBreaking = isTroubled && index < SERVERS * BREAKING_SHARE;
    const desk = createBreakingDesk({
      id,
      address,
      workMs: WORK_MS,
      getEnding: () => {
        const isFramed = Math.random() >= UNFRAMED_SHARE;
        return isFramed ? 'length' : (isBreaking && 'reset') || 'close';
      },
      onAnswer: (request, answer) => answers.set(request, answer),
    });
    await desk.listen();
    deployment.onEnd(desk.close);
    store.put(`servers/${id}`, {
      Backend: 'order-desk',
      Addr: address,
      Zone: zones[index % zones.length],
      Version: 'v1',
      Slots: 6,
      State: 'ready',
      ColdLeftMs: 0,
      Seq: 1,
      born: Date.now(),
    });
  }

  /** Judges what a client got by the rule MIXED: a success must be the server's whole answer. */
  function judge(id, vm, got) {
    const given = answers.get(id);
    const isBroken =
      got.status >= 200 &&
      got.status < 300 &&
      (given === undefined ||
        got.body !== given.body ||
        got.status !== given.status ||
        got.receipt?.startsWith(`${id}.`) !== true);
    counts.cut += given?.ending === 'reset' ? 1 : 0;
    if (isBroken) {
      breaches += 1;
      record.note(
        `BROKEN ${id} of ${vm.name}: ${got.status} with ${got.body.length} bytes that look complete, of ${given?.body.length}; the server's channel: ${given?.ending}`,
      );
    } else if (given?.ending !== 'length') {
      record.note(`${id} of ${vm.name}: ${got.failure ?? got.status}; ${given?.ending}`);
    }
  }

  async function callRepeatedly(vm) {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    while (!deployment.isOver()) {
      counts.sent += 1;
      const id = `r${counts.sent}-${Math.random().toString(16).slice(2, 10)}`;
      const isRelease = counts.sent % RELEASE_EVERY === 0;
      const got = await sendRequest(agent, `${vm.ip}:8149`, {
        method: isRelease ? 'PUT' : 'POST',
        path: isRelease ? '/release/1' : '/hold/1',
        headers: { Host: 'orders.example', 'Request-Id': id, 'Deadline-Ms': '4000' },
        body: '{"hold":"ivory"}',
      });
      counts.answered += got.status === 200 ? 1 : 0;
      counts.released += got.status === 204 ? 1 : 0;
      counts.refused += got.status === 503 ? 1 : 0;
      counts.failed += got.failure || got.status === 502 ? 1 : 0;
      judge(id, vm, got);
      await wait(CLIENT_PAUSE_MS);
    }
    agent.destroy();
  }

  store.put('op/config', {
    Version: 3,
    Routes: [
      { Name: 'hold', PathPrefix: '/hold/', ...ROUTE },
      { Name: 'release', PathPrefix: '/release/', ...ROUTE },
    ],
    Services: [{ Name: 'order-desk', HealthPath: '/healthz', MaxConns: 110 }],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15_000,
    },
  });
  for (let index = 0; index < SERVERS; index += 1) {
    await addDesk(index);
  }
  await deployment.start();
  await wait(SETTLE_MS);
  const callers = vms.flatMap((vm) =>
    Array.from({ length: CLIENTS_PER_VM }, () => callRepeatedly(vm)),
  );
  await wait(PLAY_MS);
  deployment.stop();
  await Promise.all(callers);
  await deployment.close();
  record.note(JSON.stringify(counts));
  return { breaches, answered: counts.answered };
});
