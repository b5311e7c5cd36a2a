import createTurns from './createTurns';
import type TurnAsk from './TurnAsk';
import type TurnState from './TurnState';

/** Gives the turns of the engines that this VM owns, and knows how much waits at all engines. */
export default function createTurnKeeper(
  schedule: (delayMs: number, callback: () => void) => void,
) {
  const turns = new Map<string, ReturnType<typeof createTurns>>();
  const backlogs = new Map<string, number>();

  function ask(
    now: number,
    engine: string,
    asked: TurnAsk,
    waitMs: number,
    onGranted: () => void,
  ): TurnState {
    const known = turns.get(engine) ?? createTurns(schedule);
    turns.set(engine, known);
    return known.ask(now, asked, waitMs, onGranted);
  }

  /** Reading time that waits at some engines, for the other VMs. */
  function getBacklogs(engines: readonly string[]): [string, number][] {
    const own = engines.map((engine): [string, number] => [
      engine,
      Math.round(turns.get(engine)?.getBacklogMs() ?? 0),
    ]);
    receive(own);
    return own;
  }

  function receive(told: [string, number][]): void {
    told.forEach(([engine, waitMs]) => backlogs.set(engine, waitMs));
  }

  function remove(engine: string): void {
    turns.delete(engine);
    backlogs.delete(engine);
  }

  return {
    ask,
    finish: (now: number, engine: string, id: string) => turns.get(engine)?.finish(now, id),
    getBacklogs,
    getBacklogMs: (engine: string) => backlogs.get(engine) ?? 0,
    receive,
    remove,
  };
}
