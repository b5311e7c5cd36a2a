import { match } from 'ts-pattern';
import createPool from '../src/pool/createPool';
import type PoolAction from '../src/pool/PoolAction';
import type PoolPolicy from '../src/pool/PoolPolicy';
import type Arrival from './Arrival';
import createFakeEngine from './createFakeEngine';
import createEventQueue from './createEventQueue';
import createRandom from './createRandom';
import getSummary from './getSummary';
import type Measurements from './Measurements';
import type Workload from './Workload';

const TICK_MS = 50;
const EVICTION_MS = 2;
const MAX_DRAIN_MS = 120_000;

type SimulationEvent =
  | { kind: 'arrival'; arrival: Arrival }
  | { kind: 'finish'; engine: string; version: number }
  | {
      kind: 'loaded';
      engine: string;
      model: string;
      name: string;
      ok: boolean;
      restartCount: number;
    }
  | { kind: 'evicted'; engine: string; name: string }
  | { kind: 'fault'; fault: Workload['faults'][number] }
  | { kind: 'tick' };

/**
 * Simulates a workload under one policy, with a simulated clock, adapter slots, batches and adapter
 * store, and returns the figures.
 */
export default function runPolicy(
  workload: Workload,
  arrivals: readonly Arrival[],
  policy: PoolPolicy,
) {
  const queue = createEventQueue<SimulationEvent>();
  const engines = new Map(workload.engines.map((engine) => [engine.id, createFakeEngine(engine)]));
  const restartCounts = new Map<string, number>();
  const random = createRandom(workload.seed + 1);
  const { store } = workload;
  const pool = createPool(
    {
      loadsPerSecond: store.loadsPerSecond,
      maxLoadsInFlight: store.maxInFlight,
      loadMs: store.loadMs,
      stallWeight: workload.stallWeight,
    },
    policy,
    (model) => model,
  );
  const measurements: Measurements = {
    requests: arrivals.length,
    answers: [],
    refusedAfterMs: [],
    grants: new Map(),
    loads: 0,
    loadsWasted: 0,
    evictionsInService: 0,
    wrongAdapter: 0,
    doubled: 0,
    mostLoadsInOneSecond: 0,
    decisionMicros: [],
  };
  const arrivalsById = new Map<string, Arrival>();
  const stallEnds = new Map<string, number>();
  const waitingByModel = new Map<string, Set<string>>();
  const usedAdapters = new Set<string>();
  const loadStarts: number[] = [];
  let loadsInFlight = 0;
  let loadSlowdown = 1;
  let loadFailureRate = 0;

  workload.engines.forEach((engine) => pool.setEngine({ ...engine, usable: true }));
  arrivals.forEach((arrival) => queue.push(arrival.arrivedAt, { kind: 'arrival', arrival }));
  workload.faults.forEach((fault) => queue.push(fault.atMs, { kind: 'fault', fault }));
  const endAt = workload.durationMs + MAX_DRAIN_MS;
  for (let at = 0; at <= endAt; at += TICK_MS) {
    queue.push(at, { kind: 'tick' });
  }

  let next = queue.pop();
  while (next && next.at <= endAt) {
    handle(next.at, next.value);
    next = queue.pop();
  }
  engines.forEach((engine) => engine.advance(endAt));
  return getSummary(measurements, [...engines.values()]);

  function decide(now: number, decision: () => PoolAction[]): void {
    const startedAt = performance.now();
    const actions = decision();
    measurements.decisionMicros.push((performance.now() - startedAt) * 1000);
    actions.forEach((action) => execute(now, action));
  }

  function handle(now: number, event: SimulationEvent): void {
    match(event)
      .with({ kind: 'arrival' }, ({ arrival }) => {
        arrivalsById.set(arrival.id, arrival);
        recordWaiting(now, arrival);
        decide(now, () => pool.submit(now, arrival));
      })
      .with({ kind: 'finish' }, ({ engine: id, version }) => {
        const engine = engines.get(id)!;
        if (engine.getVersion() === version) {
          const finished = engine.takeFinished(now);
          finished.forEach((request) => recordAnswer(now, request));
          finished.forEach((request) => decide(now, () => pool.finish(now, request)));
          scheduleFinish(id);
        }
      })
      .with({ kind: 'loaded' }, ({ engine: id, model, name, ok, restartCount }) => {
        loadsInFlight -= 1;
        const isDone = ok && restartCount === (restartCounts.get(id) ?? 0);
        if (isDone) {
          engines.get(id)!.resident.set(name, new Set());
          endStalls(now, model);
        } else {
          measurements.loadsWasted += 1;
        }
        decide(now, () => pool.completeLoad(now, id, name, isDone));
      })
      .with({ kind: 'evicted' }, ({ engine: id, name }) => {
        const running = engines.get(id)!.resident.get(name);
        measurements.evictionsInService += (running?.size ?? 0) > 0 ? 1 : 0;
        engines.get(id)!.resident.delete(name);
        measurements.loadsWasted += usedAdapters.delete(`${id} ${name}`) ? 0 : 1;
        decide(now, () => pool.completeEviction(now, id, name, true));
      })
      .with({ kind: 'fault' }, ({ fault }) => injectFault(now, fault))
      .with({ kind: 'tick' }, () => decide(now, () => pool.tick(now)))
      .exhaustive();
  }

  function injectFault(now: number, fault: Workload['faults'][number]): void {
    match(fault)
      .with({ kind: 'storeSlow' }, ({ target }) => {
        loadSlowdown = target;
      })
      .with({ kind: 'loadFailures' }, ({ target }) => {
        loadFailureRate = target;
      })
      .with({ kind: 'restart' }, ({ target }) => {
        restartCounts.set(target, (restartCounts.get(target) ?? 0) + 1);
        const interrupted = engines.get(target)!.restart(now);
        decide(now, () => pool.resetEngine(now, target, []));
        interrupted.forEach((id) => {
          decide(now, () => pool.finish(now, id));
          const arrival = arrivalsById.get(id)!;
          measurements.grants.delete(id);
          recordWaiting(now, arrival);
          const resubmitted = {
            ...arrival,
            arrivedAt: now,
            startBy: Math.max(arrival.startBy, now + 5000),
          };
          decide(now, () => pool.submit(now, resubmitted));
        });
      })
      .exhaustive();
  }

  function recordWaiting(now: number, arrival: Arrival): void {
    const isResident = [...engines.values()].some((engine) => engine.resident.has(arrival.model));
    if (isResident) {
      stallEnds.set(arrival.id, stallEnds.get(arrival.id) ?? now);
    } else {
      const waiting = waitingByModel.get(arrival.model) ?? new Set();
      waitingByModel.set(arrival.model, waiting.add(arrival.id));
    }
  }

  function endStalls(now: number, model: string): void {
    waitingByModel.get(model)?.forEach((id) => stallEnds.set(id, now));
    waitingByModel.delete(model);
  }

  function execute(now: number, action: PoolAction): void {
    match(action)
      .with({ kind: 'grant' }, ({ request, engine: id, name }) => {
        const engine = engines.get(id)!;
        measurements.doubled += measurements.grants.has(request.id) ? 1 : 0;
        measurements.grants.set(request.id, { at: now, stepMs: engine.getStepMs() });
        const isResident = engine.start(now, request.id, name, request.tokens);
        measurements.wrongAdapter += isResident && name === request.model ? 0 : 1;
        usedAdapters.add(`${id} ${name}`);
        scheduleFinish(id);
      })
      .with({ kind: 'refuse' }, ({ request }) => {
        const { arrivedAt } = arrivalsById.get(request.id)!;
        measurements.refusedAfterMs.push(now - arrivedAt);
        waitingByModel.get(request.model)?.delete(request.id);
      })
      .with({ kind: 'load' }, ({ engine, model, name }) => {
        loadsInFlight += 1;
        measurements.loads += 1;
        loadStarts.push(now);
        const loadsInLastSecond = loadStarts.filter((start) => start > now - 1000).length;
        measurements.mostLoadsInOneSecond = Math.max(
          measurements.mostLoadsInOneSecond,
          loadsInLastSecond,
        );
        const contention = Math.max(1, loadsInFlight / store.maxInFlight);
        const ok = random() >= loadFailureRate;
        const restartCount = restartCounts.get(engine) ?? 0;
        const event = { kind: 'loaded', engine, model, name, ok, restartCount } as const;
        queue.push(now + store.loadMs * loadSlowdown * contention, event);
      })
      .with({ kind: 'evict' }, ({ engine, name }) => {
        queue.push(now + EVICTION_MS, { kind: 'evicted', engine, name });
      })
      .exhaustive();
  }

  function scheduleFinish(id: string): void {
    const engine = engines.get(id)!;
    const at = engine.getNextFinish();
    if (at !== undefined) {
      queue.push(at, { kind: 'finish', engine: id, version: engine.getVersion() });
    }
  }

  function recordAnswer(now: number, id: string): void {
    const arrival = arrivalsById.get(id)!;
    const grant = measurements.grants.get(id)!;
    measurements.answers.push({
      stallMs: Math.max(0, (stallEnds.get(id) ?? now) - arrival.arrivedAt),
      firstTokenMs: grant.at + grant.stepMs - arrival.arrivedAt,
      isLate: grant.at > arrival.startBy + TICK_MS,
    });
  }
}
