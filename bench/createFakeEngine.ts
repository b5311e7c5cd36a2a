import type Workload from './Workload';

type EngineSpecification = Workload['engines'][number];

interface ActiveRequest {
  id: string;
  remaining: number;
}

/** Creates a simulated engine batch: each step produces one token for each running request. */
export default function createFakeEngine(specification: EngineSpecification) {
  const activeRequests = new Map<string, ActiveRequest>();
  const resident = new Map<string, Set<string>>();
  let updatedAt = 0;
  let tokensDone = 0;
  let tokensPossible = 0;
  let version = 0;

  function getStepMs(): number {
    return (
      specification.tokenMs + specification.tokenMsPerExtra * Math.max(0, activeRequests.size - 1)
    );
  }

  function advance(now: number): void {
    const steps = (now - updatedAt) / getStepMs();
    updatedAt = now;
    if (activeRequests.size === 0) {
      return;
    }
    tokensDone += steps * activeRequests.size;
    tokensPossible += steps * specification.batchSize;
    activeRequests.forEach((request) => {
      request.remaining -= steps;
    });
  }

  function start(now: number, id: string, name: string, tokens: number): boolean {
    advance(now);
    version += 1;
    const running = resident.get(name);
    running?.add(id);
    activeRequests.set(id, { id, remaining: tokens });
    return running !== undefined;
  }

  /** Removes the requests that have all their tokens and returns their ids. */
  function takeFinished(now: number): string[] {
    advance(now);
    const finished = [...activeRequests.values()]
      .filter((request) => request.remaining < 1e-6)
      .map(({ id }) => id);
    finished.forEach((id) => {
      activeRequests.delete(id);
      resident.forEach((running) => running.delete(id));
    });
    version += 1;
    return finished;
  }

  function getNextFinish(): number | undefined {
    if (activeRequests.size === 0) {
      return undefined;
    }
    const leastRemaining = Math.min(
      ...[...activeRequests.values()].map((request) => request.remaining),
    );
    return updatedAt + Math.max(0, leastRemaining) * getStepMs();
  }

  /** Removes all requests and adapters; returns the ids of the interrupted requests. */
  function restart(now: number): string[] {
    advance(now);
    const interrupted = [...activeRequests.keys()];
    activeRequests.clear();
    resident.clear();
    version += 1;
    return interrupted;
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
