import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import createLink from './createLink.mjs';
import createStore from './createStore.mjs';
import sendRequest from './sendRequest.mjs';
import startVm from './startVm.mjs';

const START_LIMIT_MS = 15_000;
const RESTART_MS = 300;
const ZONES = ['maraval', 'st-james', 'diego-martin'];

/**
 * Creates three entry VMs and the store, on free loopback addresses, with a link of its own from each VM
 * to the store. `close` ends all that was started.
 */
export default async function createDeployment(record) {
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
  const settings = { seeds: vms.map(({ ip }) => ip) };
  const children = new Map();
  const closers = [];
  let isOver = false;

  const wait = (ms) =>
    new Promise((resolve) => {
      setTimeout(resolve, ms);
    });

  /** Starts the process of a VM, and starts it again whenever it ends, as the platform does. */
  async function run(vm) {
    const child = await startVm(scratch, vm, settings);
    children.set(vm.name, child);
    child.once('exit', async (code, signal) => {
      if (!isOver) {
        record.note(`${vm.name} has ended with ${code ?? signal}`);
        await wait(RESTART_MS);
        if (!isOver) {
          record.note(`${vm.name} starts again`);
          run(vm);
        }
      }
    });
  }

  async function isReady(vm) {
    const answer = await sendRequest(undefined, `${vm.ip}:8141`, {
      method: 'GET',
      path: '/api/readyz',
      headers: {},
    });
    return answer.status === 200;
  }

  async function start() {
    const startedAt = record.now();
    await store.listen();
    for (const link of links) {
      await link.listen();
    }
    for (const vm of vms) {
      await run(vm);
    }
    while (!(await Promise.all(vms.map(isReady))).every(Boolean)) {
      if (record.now() - startedAt > START_LIMIT_MS) {
        throw new Error('the VMs are not ready');
      }
      await wait(200);
    }
  }

  async function close() {
    isOver = true;
    children.forEach((child) => child.kill('SIGKILL'));
    links.forEach((link) => link.close());
    store.close();
    closers.forEach((end) => end());
    await rm(scratch, { recursive: true, force: true });
  }

  return {
    net,
    zones: ZONES,
    store,
    vms,
    wait,
    start,
    close,
    kill: (vm, signal) => children.get(vm.name).kill(signal),
    /** Makes the open channels to the store silent; returns their number. */
    silenceStore: () => links.reduce((sum, link) => sum + link.silence(), 0),
    onEnd: (end) => closers.push(end),
    isOver: () => isOver,
    stop: () => {
      isOver = true;
    },
  };
}
