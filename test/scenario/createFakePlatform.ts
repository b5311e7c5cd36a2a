import type KeyValue from '../../src/keyValue/KeyValue';
import type KeyValueError from '../../src/keyValue/KeyValueError';
import type Result from '../../src/shared/Result';
import createKeyValueState from '../../standins/createKeyValueState';
import type Gate from './Gate';
import type VirtualTime from './VirtualTime';

const ANSWER_MS = 2;
const TIMEOUT_MS = 1500;

/** A fake of the key-value service, with its faults, as each VM meets it. */
export default function createFakePlatform(time: VirtualTime) {
  const state = createKeyValueState();
  const faults = { down: false, slowMs: 0, loseAnswers: 0, silentWatches: false };
  const cutOff = new Set<string>();
  const leases = new Map<string, string[]>();

  function createKeyValue(vm: string, gate: Gate): KeyValue {
    /** One call: there, effect, and back; each way may be lost. */
    function call<Value>(
      effect: () => Value,
      isWrite = false,
    ): Promise<Result<Value, KeyValueError>> {
      return new Promise((resolve) => {
        const answer = (outcome: Result<Value, KeyValueError>, delayMs: number) =>
          time.setTimer(delayMs, () => gate.pass(() => resolve(outcome)));
        const fail = (kind: 'notDone' | 'unknown', delayMs: number) =>
          answer({ ok: false, error: { kind, reason: 'fault' } }, delayMs);
        if (faults.down) {
          fail('notDone', ANSWER_MS);
          return;
        }
        if (cutOff.has(vm)) {
          fail('unknown', TIMEOUT_MS);
          return;
        }
        time.setTimer(ANSWER_MS / 2 + faults.slowMs / 2, () => {
          if (faults.down || cutOff.has(vm)) {
            fail('unknown', TIMEOUT_MS);
            return;
          }
          state.expire(time.now());
          const value = effect();
          const isLost = isWrite && faults.loseAnswers > 0;
          faults.loseAnswers -= isLost ? 1 : 0;
          if (isLost || faults.slowMs > TIMEOUT_MS) {
            fail('unknown', TIMEOUT_MS);
          } else {
            answer({ ok: true, value }, ANSWER_MS / 2 + faults.slowMs / 2);
          }
        });
      });
    }

    return {
      range: (request) => call(() => state.range(request)),
      transact: (transaction) =>
        call(() => {
          const { answers: answers } = state.transactAll([transaction]);
          return answers[0];
        }, transaction.writes.length > 0),
      transactAll: (transactions) => call(() => state.transactAll(transactions), true),
      grantLease: (ttlSeconds) =>
        call(() => {
          const lease = state.grantLease(time.now(), ttlSeconds);
          leases.set(vm, [...(leases.get(vm) ?? []), lease]);
          return lease;
        }),
      keepLeaseAlive: (lease) => call(() => state.keepLeaseAlive(time.now(), lease)),
      revokeLease: (lease) => call(() => state.revokeLease(lease)),
      watch: (request, onEntries, onEnd) => {
        if (faults.down || cutOff.has(vm)) {
          time.setTimer(ANSWER_MS, () => gate.pass(() => onEnd('closed')));
          return () => {};
        }
        return state.watch(request, (entries, revision) => {
          if (!faults.silentWatches && !faults.down && !cutOff.has(vm)) {
            time.setTimer(ANSWER_MS, () => gate.pass(() => onEntries(entries, revision)));
          }
        });
      },
    };
  }

  return {
    createKeyValue,
    faults,
    setDown: (isDown: boolean) => {
      if (faults.down && !isDown) {
        state.extendLeases(time.now());
      }
      faults.down = isDown;
    },
    setCut: (vm: string, isCut: boolean) => {
      if (isCut) {
        cutOff.add(vm);
      } else {
        cutOff.delete(vm);
      }
    },
    lapseLeases: (vm: string) => (leases.get(vm) ?? []).forEach(state.revokeLease),
    getEntries: (prefix: string) => state.range({ key: prefix, rangeEnd: `${prefix}~` }).entries,
  };
}
