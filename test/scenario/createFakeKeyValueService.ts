import type KeyValue from '../../src/keyValue/KeyValue';
import type KeyValueError from '../../src/keyValue/KeyValueError';
import type Result from '../../src/shared/Result';
import createKeyValueState from '../../standins/createKeyValueState';
import type VmExecutor from './VmExecutor';
import type VirtualClock from './VirtualClock';

const RESPONSE_MS = 2;
const TIMEOUT_MS = 1500;

/** Creates a fake key-value service with injectable faults and a client for each VM. */
export default function createFakeKeyValueService(clock: VirtualClock) {
  const state = createKeyValueState();
  const faults = { isDown: false, slowMs: 0, loseResponses: 0, silentWatches: false };
  const disconnectedVms = new Set<string>();
  const leaseIdsByVm = new Map<string, string[]>();

  function createKeyValue(vm: string, executor: VmExecutor): KeyValue {
    /** Sends one request, applies it and sends the response; either message may be lost. */
    function sendRequest<Value>(
      handle: () => Value,
      isWrite = false,
    ): Promise<Result<Value, KeyValueError>> {
      return new Promise((resolve) => {
        const respond = (result: Result<Value, KeyValueError>, delayMs: number) =>
          clock.setTimer(delayMs, () => executor.run(() => resolve(result)));
        const fail = (kind: 'notDone' | 'unknown', delayMs: number) =>
          respond({ ok: false, error: { kind, reason: 'fault' } }, delayMs);
        if (faults.isDown) {
          fail('notDone', RESPONSE_MS);
          return;
        }
        if (disconnectedVms.has(vm)) {
          fail('unknown', TIMEOUT_MS);
          return;
        }
        clock.setTimer(RESPONSE_MS / 2 + faults.slowMs / 2, () => {
          if (faults.isDown || disconnectedVms.has(vm)) {
            fail('unknown', TIMEOUT_MS);
            return;
          }
          state.expire(clock.now());
          const value = handle();
          const isLost = isWrite && faults.loseResponses > 0;
          faults.loseResponses -= isLost ? 1 : 0;
          if (isLost || faults.slowMs > TIMEOUT_MS) {
            fail('unknown', TIMEOUT_MS);
          } else {
            respond({ ok: true, value }, RESPONSE_MS / 2 + faults.slowMs / 2);
          }
        });
      });
    }

    return {
      range: (request) => sendRequest(() => state.range(request)),
      transact: (transaction) =>
        sendRequest(() => {
          const { answers } = state.transactAll([transaction]);
          return answers[0];
        }, transaction.writes.length > 0),
      transactAll: (transactions) => sendRequest(() => state.transactAll(transactions), true),
      grantLease: (ttlSeconds) =>
        sendRequest(() => {
          const lease = state.grantLease(clock.now(), ttlSeconds);
          leaseIdsByVm.set(vm, [...(leaseIdsByVm.get(vm) ?? []), lease]);
          return lease;
        }),
      keepLeaseAlive: (lease) => sendRequest(() => state.keepLeaseAlive(clock.now(), lease)),
      revokeLease: (lease) => sendRequest(() => state.revokeLease(lease)),
      watch: (request, onEntries, onEnd) => {
        if (faults.isDown || disconnectedVms.has(vm)) {
          clock.setTimer(RESPONSE_MS, () => executor.run(() => onEnd('closed')));
          return () => {};
        }
        return state.watch(request, (entries, revision) => {
          if (!faults.silentWatches && !faults.isDown && !disconnectedVms.has(vm)) {
            clock.setTimer(RESPONSE_MS, () => executor.run(() => onEntries(entries, revision)));
          }
        });
      },
    };
  }

  return {
    createKeyValue,
    faults,
    setDown: (isDown: boolean) => {
      if (faults.isDown && !isDown) {
        state.extendLeases(clock.now());
      }
      faults.isDown = isDown;
    },
    setDisconnected: (vm: string, isDisconnected: boolean) => {
      if (isDisconnected) {
        disconnectedVms.add(vm);
      } else {
        disconnectedVms.delete(vm);
      }
    },
    expireLeases: (vm: string) => (leaseIdsByVm.get(vm) ?? []).forEach(state.revokeLease),
    getEntries: (prefix: string) => state.range({ key: prefix, rangeEnd: `${prefix}~` }).entries,
  };
}
