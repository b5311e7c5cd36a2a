/**
 * `npm run bench:capacity`: measures how memory, message sizes and processing times grow with the
 * numbers of rows, VMs, adapters and engines; docs/CAPACITY.md derives the capacity from these.
 */
import Message from '../../src/mesh/Message';
import encodeFrame from '../../src/mesh/encodeFrame';
import { decode } from 'cbor-x';
import createPool from '../../src/pool/createPool';
import createValuePolicy from '../../src/pool/createValuePolicy';
import type PoolAction from '../../src/pool/PoolAction';
import createTable from '../../src/table/createTable';
import rankByRendezvous from '../../src/shared/rankByRendezvous';
import createRandom from '../createRandom';

const LENGTH_BYTES = 4;

function print(...parts: (string | number)[]): void {
  process.stdout.write(`${parts.join(' ')}\n`);
}

function timeEach(repetitions: number, action: (index: number) => void): number {
  for (let index = 0; index < repetitions / 10; index += 1) {
    action(index);
  }
  const startedAt = performance.now();
  for (let index = 0; index < repetitions; index += 1) {
    action(index);
  }
  return ((performance.now() - startedAt) * 1000) / repetitions;
}

function getHeapMegabytes(): number {
  global.gc?.();
  return process.memoryUsage().heapUsed / 1_048_576;
}

function measureTable(rows: number): void {
  const before = getHeapMegabytes();
  const table = createTable();
  for (let index = 0; index < rows; index += 1) {
    const value = JSON.parse(
      JSON.stringify({
        team: 'atelier',
        baseModel: 'base',
        versions: [{ name: 'v1', weight: 1 }],
        currentVersion: 'v1',
        weight: 1,
        priority: 5,
        class: 'interactive',
        limits: {},
      }),
    );
    const row = { kind: 'adapters' as const, name: `adapter-${index}`, revision: index + 1 };
    table.apply({ ...row, edit: `0b5c2a9e-${index}`, value });
  }
  const megabytes = getHeapMegabytes() - before;
  const pageStartedAt = performance.now();
  table.getRows('adapters', '', '', 10);
  print(
    `table of ${rows} rows: ${megabytes.toFixed(1)} MB,`,
    `${((megabytes * 1_048_576) / rows).toFixed(0)} bytes a row,`,
    `first page ${(performance.now() - pageStartedAt).toFixed(1)} ms`,
  );
}

function measureMessages(): void {
  const heartbeat = (peers: number | undefined): Message => ({
    kind: 'heartbeat',
    state: 'live',
    tableRevision: 123456,
    newestRow: 123456,
    confirmedAgeMs: 321.5,
    inFlight: 17,
    about:
      peers === undefined
        ? undefined
        : {
            incarnation: '0b5c2a9e-5b8c-4b0e-8d3e-1f2a3b4c5d6e',
            dataCentre: 'dc1',
            callerAddress: '10.20.30.40:8080',
            heard: Array.from({ length: peers }, (_, index) => `10.20.30.${index}:7080`),
          },
  });
  [undefined, 7, 55, 389].forEach((peers) => {
    const frame = encodeFrame(heartbeat(peers));
    const encodeMicros = timeEach(2000, () => encodeFrame(heartbeat(peers)));
    const decodeMicros = timeEach(2000, () => Message.parse(decode(frame.subarray(LENGTH_BYTES))));
    print(
      `heartbeat naming ${peers ?? 'no'} VMs: ${frame.length} bytes,`,
      `encode ${encodeMicros.toFixed(1)} us, decode and check ${decodeMicros.toFixed(1)} us`,
    );
  });
  [6, 56].forEach((engines) => {
    const message: Message = {
      kind: 'residency',
      pool: 'base',
      fence: 12,
      sequence: 345,
      isWhole: true,
      engines: Array.from({ length: engines }, (_, index) => ({
        engine: `engine${index}`,
        names: Array.from({ length: 8 }, (__, slot) => `adapter-${index * 8 + slot}@v1#12`),
        running: 7,
      })),
    };
    const frame = encodeFrame(message);
    const decodeMicros = timeEach(1000, () => Message.parse(decode(frame.subarray(LENGTH_BYTES))));
    print(
      `residency of ${engines} engines: ${frame.length} bytes, decode ${decodeMicros.toFixed(1)} us`,
    );
  });
}

function measureDecisions(adapters: number, engines: number): void {
  const random = createRandom(7);
  const pool = createPool(
    { loadsPerSecond: engines / 2, maxLoadsInFlight: 8 * engines, loadMs: 250, stallWeight: 0.5 },
    createValuePolicy(),
    (model) => model,
  );
  for (let index = 0; index < engines; index += 1) {
    pool.setEngine({ id: `e${index}`, slots: 8, batchSize: 32, dataCentre: 'a', usable: true });
  }
  let now = 0;
  let requestCount = 0;
  const micros: number[] = [];
  const running: string[] = [];
  const decide = (action: () => PoolAction[]) => {
    const startedAt = performance.now();
    const actions = action();
    micros.push((performance.now() - startedAt) * 1000);
    actions.forEach((poolAction) => {
      if (poolAction.kind === 'grant') {
        running.push(poolAction.request.id);
      } else if (poolAction.kind === 'load') {
        decide(() => pool.completeLoad(now, poolAction.engine, poolAction.name, true));
      } else if (poolAction.kind === 'evict') {
        decide(() => pool.completeEviction(now, poolAction.engine, poolAction.name, true));
      }
    });
  };
  const runRound = () => {
    now += 1000 / engines;
    requestCount += 1;
    const rank = Math.floor(adapters ** random());
    const request = {
      id: String(requestCount),
      model: `a${rank}@v1`,
      team: 't',
      priority: 5,
      weight: 1,
    };
    const timing = { tokens: 100, arrivedAt: now, startBy: now + 8000 };
    decide(() => pool.submit(now, { ...request, ...timing, class: 'interactive' }));
    if (running.length > engines * 3) {
      const id = running.shift()!;
      decide(() => pool.finish(now, id));
    }
  };
  Array.from({ length: 12_000 }).forEach(runRound);
  const steadyMicros = micros.slice(micros.length >> 1).sort((left, right) => left - right);
  const quantile = (share: number) =>
    steadyMicros[Math.floor(share * steadyMicros.length)].toFixed(1);
  print(
    `decisions, ${adapters} adapters, ${engines} engines:`,
    `P50 ${quantile(0.5)} us, P99 ${quantile(0.99)} us`,
  );
}

measureTable(3000);
measureTable(150_000);
measureMessages();
[300, 3000, 30_000, 150_000].forEach((adapters) => measureDecisions(adapters, 6));
[6, 56].forEach((engines) => measureDecisions(3000, engines));
[8, 56, 390].forEach((vms) => {
  const names = Array.from({ length: vms }, (_, index) => `10.20.30.${index}:7080`);
  const micros = timeEach(500, (index) => rankByRendezvous(`adapter-${index}`, names));
  print(`rendezvous over ${vms} VMs: ${micros.toFixed(1)} us`);
});
