/**
 * `npm run bench:claims`: bookings a second that a key-value service of a limited rate of writes
 * carries, with and without claims riding together, and the time that a single booking takes.
 */
import createCalls from '../../src/calls/createCalls';
import type KeyValue from '../../src/keyValue/KeyValue';
import createKeyValueState from '../../standins/createKeyValueState';
import createVirtualClock from '../../test/scenario/createVirtualClock';

const WRITES_PER_SECOND = 400;
const ANSWER_MS = 3;
const SERVICE_MS = 20;
const DURATION_MS = 5000;
const OFFERED = [1, 100, 200, 400, 800, 1600, 3200];

/** A service of a limited rate: calls beyond it wait their turn, one after the other. */
function createLimitedKeyValue(time: ReturnType<typeof createVirtualClock>): KeyValue {
  const state = createKeyValueState();
  let freeAt = 0;
  const call = <Value>(effect: () => Value) =>
    new Promise<{ ok: true; value: Value }>((resolve) => {
      freeAt = Math.max(freeAt, time.now()) + 1000 / WRITES_PER_SECOND;
      const delayMs = freeAt - time.now() + ANSWER_MS;
      time.setTimer(delayMs, () => resolve({ ok: true, value: effect() }));
    });
  return {
    range: (request) => call(() => state.range(request)),
    transact: (transaction) => call(() => state.transactAll([transaction]).answers[0]),
    transactAll: (transactions) => call(() => state.transactAll(transactions)),
    grantLease: (ttl) => call(() => state.grantLease(time.now(), ttl)),
    keepLeaseAlive: (lease) => call(() => state.keepLeaseAlive(time.now(), lease)),
    revokeLease: (lease) => call(() => state.revokeLease(lease)),
    watch: () => () => {},
  };
}

async function measure(offeredPerSecond: number, maxBatch: number) {
  const time = createVirtualClock();
  let nonces = 0;
  const calls = createCalls(
    {
      ...time,
      keyValue: createLimitedKeyValue(time),
      send: () => false,
      createNonce: () => {
        nonces += 1;
        return String(nonces);
      },
      getTimeOfDay: time.now,
      isSweeper: () => false,
      log: () => {},
    },
    { address: 'vm1', retentionSeconds: 3600, maxBatchSize: maxBatch },
  );
  const times: number[] = [];
  const bookOne = async (index: number) => {
    const startedAt = time.now();
    await calls.run({
      team: 't',
      key: String(index),
      fingerprint: '',
      send: () =>
        new Promise((resolve) => {
          const value = { status: 200, contentType: 'text/plain', body: '' };
          time.setTimer(SERVICE_MS, () => resolve({ ok: true, value }));
        }),
    });
    times.push(time.now() - startedAt);
  };
  const count = Math.max(5, (offeredPerSecond * DURATION_MS) / 1000);
  for (let index = 0; index < count; index += 1) {
    time.setTimer((index * 1000) / offeredPerSecond, () => {
      bookOne(index);
    });
  }
  await time.advance(DURATION_MS);
  times.sort((left, right) => left - right);
  return { done: times.length / (DURATION_MS / 1000), p50: times[times.length >> 1] ?? NaN };
}

async function main(): Promise<void> {
  process.stdout.write('offered/s  alone: done/s, P50 ms  together: done/s, P50 ms\n');

  for (const offered of OFFERED) {
    const alone = await measure(offered, 1);
    const together = await measure(offered, 64);
    const words = [alone, together].map(({ done, p50 }) => `${done.toFixed(0)}, ${p50.toFixed(1)}`);
    process.stdout.write(`${offered}  ${words.join('  ')}\n`);
  }
}

main();
