import type Workload from './Workload';

type EngineSpecification = Workload['engines'][number];

interface Run {
  id: string;
  remaining: number;
}

/** A fake of an engine's batch: every step gives each running request one token. */
export default function createFakeEngine(specification: EngineSpecification) {
  const runs = new Map<string, Run>();
  const resident = new Map<string, Set<string>>();
  let updatedAt = 0;
  let tokensDone = 0;
  let tokensPossible = 0;
  let version = 0;

  function getStepMs(): number {
    return specification.tokenMs + specification.tokenMsPerExtra * Math.max(0, runs.size - 1);
  }

  function advance(now: number): void {
    const steps = (now - updatedAt) / getStepMs();
    updatedAt = now;
    if (runs.size === 0) {
      return;
    }
    tokensDone += steps * runs.size;
    tokensPossible += steps * specification.batchSize;
    runs.forEach((run) => {
      run.remaining -= steps;
    });
  }

  function start(now: number, id: string, name: string, tokens: number): boolean {
    advance(now);
    version += 1;
    const running = resident.get(name);
    running?.add(id);
    runs.set(id, { id, remaining: tokens });
    return running !== undefined;
  }

  /** Ends the requests that have all their tokens. */
  function takeFinished(now: number): string[] {
    advance(now);
    const finished = [...runs.values()].filter((run) => run.remaining < 1e-6).map(({ id }) => id);
    finished.forEach((id) => {
      runs.delete(id);
      resident.forEach((running) => running.delete(id));
    });
    version += 1;
    return finished;
  }

  function getNextFinish(): number | undefined {
    if (runs.size === 0) {
      return undefined;
    }
    const least = Math.min(...[...runs.values()].map((run) => run.remaining));
    return updatedAt + Math.max(0, least) * getStepMs();
  }

  /** Empties the engine; answers the requests that were cut off. */
  function restart(now: number): string[] {
    advance(now);
    const cut = [...runs.keys()];
    runs.clear();
    resident.clear();
    version += 1;
    return cut;
  }

  return {
    specification,
    resident,
    start,
    takeFinished,
    getNextFinish,
    restart,
    advance,
    getStepMs,
    getVersion: () => version,
    getTokensDone: () => tokensDone,
    getTokensPossible: () => tokensPossible,
  };
}
