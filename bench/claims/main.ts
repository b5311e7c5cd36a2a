/**
 * `npm run bench:claims`: measures the throughput of non-idempotent calls on a key-value service
 * with a limited write rate, with and without batching of claims, and the median duration of a call.
 */
import createCalls from '../../src/calls/createCalls';
import type KeyValue from '../../src/keyValue/KeyValue';
import createKeyValueState from '../../standins/createKeyValueState';
import createVirtualClock from '../../test/scenario/createVirtualClock';

const WRITES_PER_SECOND = 400;
const RESPONSE_MS = 3;
const SERVICE_MS = 20;
const DURATION_MS = 5000;
const OFFERED_RATES = [1, 100, 200, 400, 800, 1600, 3200];

/** Creates a key-value service with a limited call rate; calls beyond it are queued in order. */
function createLimitedKeyValue(clock: ReturnType<typeof createVirtualClock>): KeyValue {
  const state = createKeyValueState();
  let availableAt = 0;
  const call = <Value>(effect: () => Value) =>
    new Promise<{ ok: true; value: Value }>((resolve) => {
      availableAt = Math.max(availableAt, clock.now()) + 1000 / WRITES_PER_SECOND;
      const delayMs = availableAt - clock.now() + RESPONSE_MS;
      clock.setTimer(delayMs, () => resolve({ ok: true, value: effect() }));
    });
  return {
    range: (request) => call(() => state.range(request)),
    transact: (transaction) => call(() => state.transactAll([transaction]).answers[0]),
    transactAll: (transactions) => call(() => state.transactAll(transactions)),
    grantLease: (ttl) => call(() => state.grantLease(clock.now(), ttl)),
    keepLeaseAlive: (lease) => call(() => state.keepLeaseAlive(clock.now(), lease)),
    revokeLease: (lease) => call(() => state.revokeLease(lease)),
    watch: () => () => {},
  };
}

async function measure(offeredPerSecond: number, maxBatchSize: number) {
  const clock = createVirtualClock();
  let nonceCount = 0;
  const calls = createCalls(
    {
      ...clock,
      keyValue: createLimitedKeyValue(clock),
      send: () => false,
      createNonce: () => {
        nonceCount += 1;
        return String(nonceCount);
      },
      getTimeOfDay: clock.now,
      isSweeper: () => false,
      log: () => {},
    },
    { address: 'vm1', retentionSeconds: 3600, maxBatchSize },
  );
  const times: number[] = [];
  const runCall = async (index: number) => {
    const startedAt = clock.now();
    await calls.run({
      team: 't',
      key: String(index),
      fingerprint: '',
      send: () =>
        new Promise((resolve) => {
          const value = { status: 200, contentType: 'text/plain', body: '' };
          clock.setTimer(SERVICE_MS, () => resolve({ ok: true, value }));
        }),
    });
    times.push(clock.now() - startedAt);
  };
  const count = Math.max(5, (offeredPerSecond * DURATION_MS) / 1000);
  for (let index = 0; index < count; index += 1) {
    clock.setTimer((index * 1000) / offeredPerSecond, () => {
      runCall(index);
    });
  }
  await clock.advance(DURATION_MS);
  times.sort((left, right) => left - right);
  return { done: times.length / (DURATION_MS / 1000), p50: times[times.length >> 1] ?? NaN };
}

async function main(): Promise<void> {
  process.stdout.write('offered/s  alone: done/s, P50 ms  together: done/s, P50 ms\n');

  for (const offered of OFFERED_RATES) {
    const unbatched = await measure(offered, 1);
    const batched = await measure(offered, 64);
    const figures = [unbatched, batched].map(
      ({ done, p50 }) => `${done.toFixed(0)}, ${p50.toFixed(1)}`,
    );
    process.stdout.write(`${offered}  ${figures.join('  ')}\n`);
  }
}

main();
