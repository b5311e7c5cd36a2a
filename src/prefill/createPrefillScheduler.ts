import createPrefillQueue from './createPrefillQueue';
import type PrefillRequest from './PrefillRequest';
import type PrefillState from './PrefillState';

/**
 * Schedules prefill on the engines that this VM owns, and stores the prefill backlogs of all
 * engines.
 */
export default function createPrefillScheduler(
  schedule: (delayMs: number, callback: () => void) => void,
  getWeight?: (organisation: string) => number,
) {
  const queues = new Map<string, ReturnType<typeof createPrefillQueue>>();
  const backlogs = new Map<string, number>();

  function request(
    now: number,
    engine: string,
    prefillRequest: PrefillRequest,
    waitMs: number,
    onGranted: () => void,
  ): PrefillState {
    const queue = queues.get(engine) ?? createPrefillQueue(schedule, getWeight);
    queues.set(engine, queue);
    return queue.request(now, prefillRequest, waitMs, onGranted);
  }

  /** Returns the backlogs of this VM's engines in milliseconds, to be published to all VMs. */
  function getBacklogs(engines: readonly string[]): [string, number][] {
    const ownBacklogs = engines.map((engine): [string, number] => [
      engine,
      Math.round(queues.get(engine)?.getBacklogMs() ?? 0),
    ]);
    updateBacklogs(ownBacklogs);
    return ownBacklogs;
  }

  function updateBacklogs(reported: [string, number][]): void {
    reported.forEach(([engine, waitMs]) => backlogs.set(engine, waitMs));
  }

  function remove(engine: string): void {
    queues.delete(engine);
    backlogs.delete(engine);
  }

  return {
    request,
    finish: (now: number, engine: string, id: string) => queues.get(engine)?.finish(now, id),
    getBacklogs,
    getBacklogMs: (engine: string) => backlogs.get(engine) ?? 0,
    updateBacklogs,
    remove,
  };
}
