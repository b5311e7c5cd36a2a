import type ServiceClient from '../../src/upstream/ServiceClient';
import type Gate from './Gate';
import type VirtualTime from './VirtualTime';

const WORK_MS = 30;
const TIMEOUT_MS = 10_000;

/** A fake of a plain service that counts how often each call ran, by its body. */
export default function createFakeServices(time: VirtualTime) {
  const ran = new Map<string, number>();
  const ids = new Set<string>();
  const faults = { loseAnswers: 0, isDown: false };

  function createServices(gate: Gate): ServiceClient {
    return {
      call: (_address, order) =>
        new Promise((resolve) => {
          const later = (delayMs: number, outcome: Awaited<ReturnType<ServiceClient['call']>>) =>
            time.setTimer(delayMs, () => gate.pass(() => resolve(outcome)));
          if (faults.isDown) {
            later(1, { ok: false, error: { kind: 'notSent', reason: 'refused' } });
            return;
          }
          time.setTimer(1, () => {
            ids.add(order.id);
            ran.set(order.body, (ran.get(order.body) ?? 0) + 1);
            if (faults.loseAnswers > 0) {
              faults.loseAnswers -= 1;
              later(TIMEOUT_MS, { ok: false, error: { kind: 'lost', reason: 'timeout' } });
              return;
            }
            const body = JSON.stringify({ done: order.body });
            later(WORK_MS, {
              ok: true,
              value: { status: 200, contentType: 'application/json', body },
            });
          });
        }),
    };
  }

  return {
    createServices,
    faults,
    getRuns: (body: string) => ran.get(body) ?? 0,
    hasRun: (id: string) => ids.has(id),
  };
}
