import { mkdtemp, rm } from 'node:fs/promises';
import http from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import createDesk from '../lib/createDesk.mjs';
import createLink from '../lib/createLink.mjs';
import createRecord from '../lib/createRecord.mjs';
import createStore from '../lib/createStore.mjs';
import sendRequest from '../lib/sendRequest.mjs';
import startVm from '../lib/startVm.mjs';

const CONTACT_MS = 3000;
const DRAIN_MS = 2000;
/** A server without a `draining` report goes on for `DrainMs` and a little longer. */
const SERVES_ON_MS = DRAIN_MS + 1300;
const REMOVAL_AFTER_MS = 100;
const ROUNDS = 5;
const ROUND_MS = 11_000;
const CLIENTS_PER_VM = 6;
const CLIENT_PAUSE_MS = 60;
const WORK_MS = 40;
const START_LIMIT_MS = 15_000;
const ZONES = ['maraval', 'st-james', 'diego-martin'];

const isTroubled = process.env.TROUBLE !== '0';
const folder = path.dirname(new URL(import.meta.url).pathname);
const record = createRecord(path.join(folder, 'record.txt'));
const scratch = await mkdtemp(path.join(tmpdir(), 'review-'));
const draw = () => 20 + Math.floor(Math.random() * 200);
const net = `127.${draw()}.${draw()}`;
const storeAddress = `${net}.1:8142`;
const store = createStore(storeAddress);
const vms = ZONES.map((zone, index) => ({
  name: `front-${zone}-1`,
  zone,
  ip: `${net}.${index + 51}`,
  store: `${net}.${index + 31}:8142`,
}));
const links = vms.map((vm) => createLink(vm.store, storeAddress));
const desks = new Map();
const removals = new Map();
const sentAt = new Map();
const violations = [];
const children = [];
const counts = { sent: 0, answered: 0, refused: 0, failed: 0 };
let silencedAt = -Infinity;
let deskCount = 0;
let requestCount = 0;
let isOver = false;

const wait = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

async function addDesk() {
  deskCount += 1;
  const id = `i-${deskCount}-${Math.random().toString(16).slice(2, 10)}`;
  const zone = ZONES[deskCount % ZONES.length];
  const desk = createDesk({
    id,
    address: `${net}.${deskCount + 100}:9000`,
    workMs: WORK_MS,
    onArrival: (request) => handleArrival(id, request),
  });
  await desk.listen();
  desks.set(id, desk);
  store.put(`servers/${id}`, {
    Backend: 'order-desk',
    Addr: desk.address,
    Zone: zone,
    Version: 'v1',
    Slots: 6,
    State: 'ready',
    ColdLeftMs: 0,
    Seq: 1,
    born: Date.now(),
  });
  record.note(`server ${id} is registered`);
}

/** Judges an arrival by the rule DRAIN: late, and sent on by a machine that was in touch all along. */
function handleArrival(id, request) {
  const removedAt = removals.get(id);
  if (removedAt === undefined) {
    return;
  }
  const now = record.now();
  const { at, vm } = sentAt.get(request);
  const isInTouch = at - silencedAt > CONTACT_MS;
  const isLate = now - removedAt > DRAIN_MS;
  const text = `request ${request} of ${vm} ran at ${id}, ${(now - removedAt).toFixed(0)} ms after its removal, sent ${(at - silencedAt).toFixed(0)} ms after the silence`;
  if (isLate && isInTouch) {
    violations.push(text);
  }
  record.note(isLate && isInTouch ? `BROKEN ${text}` : text);
}

async function callRepeatedly(vm) {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  while (!isOver) {
    requestCount += 1;
    const id = `r${requestCount}-${Math.random().toString(16).slice(2, 10)}`;
    sentAt.set(id, { at: record.now(), vm: vm.name });
    counts.sent += 1;
    const answer = await sendRequest(agent, `${vm.ip}:8149`, {
      method: 'POST',
      path: '/desk/hold',
      headers: { Host: 'orders.example', 'Request-Id': id, 'Deadline-Ms': '4000' },
      body: '{"hold":"ivory"}',
    });
    if (answer.status === 200 && answer.receipt?.startsWith(`${id}.`)) {
      counts.answered += 1;
    } else {
      counts[answer.status === 503 ? 'refused' : 'failed'] += 1;
      record.note(`request ${id} of ${vm.name}: ${answer.status ?? answer.failure}`);
    }
    await wait(CLIENT_PAUSE_MS);
  }
  agent.destroy();
}

async function isReady(vm) {
  const answer = await sendRequest(undefined, `${vm.ip}:8141`, {
    method: 'GET',
    path: '/api/readyz',
    headers: {},
  });
  return answer.status === 200;
}

async function playRound() {
  const [desk] = desks.values();
  if (isTroubled) {
    silencedAt = record.now();
    const count = links.reduce((sum, link) => sum + link.silence(), 0);
    record.note(`the ${count} open channels to the store go silent; new ones work`);
  }
  await wait(REMOVAL_AFTER_MS);
  store.remove(`servers/${desk.id}`);
  desks.delete(desk.id);
  removals.set(desk.id, record.now());
  record.note(`the entry of server ${desk.id} is removed`);
  await wait(SERVES_ON_MS);
  desk.exit();
  record.note(`server ${desk.id} exits`);
  await addDesk();
  await wait(ROUND_MS - REMOVAL_AFTER_MS - SERVES_ON_MS);
}

async function run() {
  await store.listen();
  for (const link of links) {
    await link.listen();
  }
  store.put('op/config', {
    Version: 3,
    Routes: [
      {
        Name: 'hold',
        Host: 'orders.example',
        PathPrefix: '/desk/',
        Type: 'non_idempotent',
        TimeoutMs: 2000,
        SloMs: 386,
        Prio: 2,
        Attempts: 1,
        Backend: 'order-desk',
      },
    ],
    Services: [{ Name: 'order-desk', HealthPath: '/healthz', MaxConns: 110 }],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15_000,
    },
  });
  for (let index = 0; index < 4; index += 1) {
    await addDesk();
  }
  const settings = { seeds: vms.map(({ ip }) => ip) };
  for (const vm of vms) {
    const child = await startVm(scratch, vm, settings);
    children.push(child);
    child.once('exit', (code) => {
      if (!isOver) {
        record.note(`${vm.name} has ended with ${code}: ${child.lines.slice(-3).join('')}`);
      }
    });
  }
  while (!(await Promise.all(vms.map(isReady))).every(Boolean)) {
    if (record.now() > START_LIMIT_MS) {
      throw new Error('the VMs are not ready');
    }
    await wait(200);
  }
  await wait(6000);
  const callers = vms.flatMap((vm) =>
    Array.from({ length: CLIENTS_PER_VM }, () => callRepeatedly(vm)),
  );
  await wait(4000);
  for (let round = 0; round < ROUNDS; round += 1) {
    await playRound();
  }
  isOver = true;
  await Promise.all(callers);
}

async function finish(code, text) {
  isOver = true;
  children.forEach((child) => child.kill('SIGKILL'));
  links.forEach((link) => link.close());
  store.close();
  desks.forEach((desk) => desk.exit());
  record.note(JSON.stringify(counts));
  record.note(text);
  await record.write();
  process.stdout.write(`${text}\n`);
  await rm(scratch, { recursive: true, force: true });
  // eslint-disable-next-line n/no-process-exit -- open channels must not delay the end
  process.exit(code);
}

run().then(
  () => {
    if (counts.answered === 0) {
      finish(2, 'no request was answered');
    }
    const isBroken = violations.length > 0;
    finish(isBroken ? 1 : 0, `${violations.length} requests broke DRAIN`);
  },
  (error) => finish(2, `could not run: ${error.stack}`),
);
