import createPrefillQueue from './createPrefillQueue';
import type PrefillRequest from './PrefillRequest';
import type PrefillState from './PrefillState';

/** Gives the turns of the engines that this VM owns, and knows how much waits at all engines. */
export default function createPrefillScheduler(
  schedule: (delayMs: number, callback: () => void) => void,
) {
  const turns = new Map<string, ReturnType<typeof createPrefillQueue>>();
  const backlogs = new Map<string, number>();

  function request(
    now: number,
    engine: string,
    asked: PrefillRequest,
    waitMs: number,
    onGranted: () => void,
  ): PrefillState {
    const known = turns.get(engine) ?? createPrefillQueue(schedule);
    turns.set(engine, known);
    return known.request(now, asked, waitMs, onGranted);
  }

  /** Reading time that waits at some engines, for the other VMs. */
  function getBacklogs(engines: readonly string[]): [string, number][] {
    const own = engines.map((engine): [string, number] => [
      engine,
      Math.round(turns.get(engine)?.getBacklogMs() ?? 0),
    ]);
    updateBacklogs(own);
    return own;
  }

  function updateBacklogs(told: [string, number][]): void {
    told.forEach(([engine, waitMs]) => backlogs.set(engine, waitMs));
  }

  function remove(engine: string): void {
    turns.delete(engine);
    backlogs.delete(engine);
  }

  return {
    request,
    finish: (now: number, engine: string, id: string) => turns.get(engine)?.finish(now, id),
    getBacklogs,
    getBacklogMs: (engine: string) => backlogs.get(engine) ?? 0,
    updateBacklogs,
    remove,
  };
}
