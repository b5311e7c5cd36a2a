import type ServiceClient from '../../src/upstream/ServiceClient';
import type VmExecutor from './VmExecutor';
import type VirtualClock from './VirtualClock';

const WORK_MS = 30;
const TIMEOUT_MS = 10_000;

/** Creates a fake non-engine service that counts by body how often each call ran. */
export default function createFakeService(clock: VirtualClock) {
  const runCounts = new Map<string, number>();
  const ranRequestIds = new Set<string>();
  const faults = { loseResponses: 0, isDown: false };

  function createServiceClient(executor: VmExecutor): ServiceClient {
    return {
      call: (_address, request) =>
        new Promise((resolve) => {
          const respond = (delayMs: number, result: Awaited<ReturnType<ServiceClient['call']>>) =>
            clock.setTimer(delayMs, () => executor.run(() => resolve(result)));
          if (faults.isDown) {
            respond(1, { ok: false, error: { kind: 'notSent', reason: 'refused' } });
            return;
          }
          clock.setTimer(1, () => {
            ranRequestIds.add(request.id);
            runCounts.set(request.body, (runCounts.get(request.body) ?? 0) + 1);
            if (faults.loseResponses > 0) {
              faults.loseResponses -= 1;
              respond(TIMEOUT_MS, { ok: false, error: { kind: 'lost', reason: 'timeout' } });
              return;
            }
            const body = JSON.stringify({ done: request.body });
            respond(WORK_MS, {
              ok: true,
              value: { status: 200, contentType: 'application/json', body },
            });
          });
        }),
    };
  }

  return {
    createServiceClient,
    faults,
    getRunCount: (body: string) => runCounts.get(body) ?? 0,
    hasRun: (id: string) => ranRequestIds.has(id),
  };
}
