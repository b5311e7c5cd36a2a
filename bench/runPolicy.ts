import { match } from 'ts-pattern';
import createPool from '../src/pool/createPool';
import type PoolAction from '../src/pool/PoolAction';
import type PoolPolicy from '../src/pool/PoolPolicy';
import type Arrival from './Arrival';
import createFakeEngine from './createFakeEngine';
import createQueue from './createQueue';
import createRandom from './createRandom';
import getSummary from './getSummary';
import type Outcomes from './Outcomes';
import type Workload from './Workload';

const TICK_MS = 50;
const EVICTION_MS = 2;
const DRAIN_MS = 120_000;

type Happening =
  | { kind: 'arrival'; arrival: Arrival }
  | { kind: 'finish'; engine: string; version: number }
  | { kind: 'loaded'; engine: string; model: string; name: string; ok: boolean; boot: number }
  | { kind: 'evicted'; engine: string; name: string }
  | { kind: 'fault'; fault: Workload['faults'][number] }
  | { kind: 'tick' };

/** Runs a workload under one policy in injected time, on fakes of slots, batches and the store. */
export default function runPolicy(
  workload: Workload,
  arrivals: readonly Arrival[],
  policy: PoolPolicy,
) {
  const queue = createQueue<Happening>();
  const engines = new Map(workload.engines.map((engine) => [engine.id, createFakeEngine(engine)]));
  const boots = new Map<string, number>();
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
  const outcomes: Outcomes = {
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
  const arrivedAt = new Map<string, Arrival>();
  const stallEnds = new Map<string, number>();
  const waitingByModel = new Map<string, Set<string>>();
  const used = new Set<string>();
  const loadStarts: number[] = [];
  let loadsInFlight = 0;
  let slowness = 1;
  let failureShare = 0;

  workload.engines.forEach((engine) => pool.setEngine({ ...engine, usable: true }));
  arrivals.forEach((arrival) => queue.push(arrival.arrivedAt, { kind: 'arrival', arrival }));
  workload.faults.forEach((fault) => queue.push(fault.atMs, { kind: 'fault', fault }));
  const endAt = workload.durationMs + DRAIN_MS;
  for (let at = 0; at <= endAt; at += TICK_MS) {
    queue.push(at, { kind: 'tick' });
  }

  let next = queue.pop();
  while (next && next.at <= endAt) {
    handle(next.at, next.value);
    next = queue.pop();
  }
  engines.forEach((engine) => engine.advance(endAt));
  return getSummary(outcomes, [...engines.values()]);

  function decide(now: number, decision: () => PoolAction[]): void {
    const startedAt = performance.now();
    const actions = decision();
    outcomes.decisionMicros.push((performance.now() - startedAt) * 1000);
    actions.forEach((action) => carryOut(now, action));
  }

  function handle(now: number, happening: Happening): void {
    match(happening)
      .with({ kind: 'arrival' }, ({ arrival }) => {
        arrivedAt.set(arrival.id, arrival);
        noteWaiting(now, arrival);
        decide(now, () => pool.submit(now, arrival));
      })
      .with({ kind: 'finish' }, ({ engine: id, version }) => {
        const engine = engines.get(id)!;
        if (engine.getVersion() === version) {
          const finished = engine.takeFinished(now);
          finished.forEach((request) => noteAnswer(now, request));
          finished.forEach((request) => decide(now, () => pool.finish(now, request)));
          scheduleFinish(id);
        }
      })
      .with({ kind: 'loaded' }, ({ engine: id, model, name, ok, boot }) => {
        loadsInFlight -= 1;
        const isDone = ok && boot === (boots.get(id) ?? 0);
        if (isDone) {
          engines.get(id)!.resident.set(name, new Set());
          endStalls(now, model);
        } else {
          outcomes.loadsWasted += 1;
        }
        decide(now, () => pool.completeLoad(now, id, name, isDone));
      })
      .with({ kind: 'evicted' }, ({ engine: id, name }) => {
        const running = engines.get(id)!.resident.get(name);
        outcomes.evictionsInService += (running?.size ?? 0) > 0 ? 1 : 0;
        engines.get(id)!.resident.delete(name);
        outcomes.loadsWasted += used.delete(`${id} ${name}`) ? 0 : 1;
        decide(now, () => pool.completeEviction(now, id, name, true));
      })
      .with({ kind: 'fault' }, ({ fault }) => inject(now, fault))
      .with({ kind: 'tick' }, () => decide(now, () => pool.tick(now)))
      .exhaustive();
  }

  function inject(now: number, fault: Workload['faults'][number]): void {
    match(fault)
      .with({ kind: 'storeSlow' }, ({ target }) => {
        slowness = target;
      })
      .with({ kind: 'loadFailures' }, ({ target }) => {
        failureShare = target;
      })
      .with({ kind: 'restart' }, ({ target }) => {
        boots.set(target, (boots.get(target) ?? 0) + 1);
        const cut = engines.get(target)!.restart(now);
        decide(now, () => pool.resetEngine(now, target, []));
        cut.forEach((id) => {
          decide(now, () => pool.finish(now, id));
          const arrival = arrivedAt.get(id)!;
          outcomes.grants.delete(id);
          noteWaiting(now, arrival);
          const again = {
            ...arrival,
            arrivedAt: now,
            startBy: Math.max(arrival.startBy, now + 5000),
          };
          decide(now, () => pool.submit(now, again));
        });
      })
      .exhaustive();
  }

  function noteWaiting(now: number, arrival: Arrival): void {
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

  function carryOut(now: number, action: PoolAction): void {
    match(action)
      .with({ kind: 'grant' }, ({ request: ask, engine: id, name }) => {
        const engine = engines.get(id)!;
        outcomes.doubled += outcomes.grants.has(ask.id) ? 1 : 0;
        outcomes.grants.set(ask.id, { at: now, stepMs: engine.getStepMs() });
        const isThere = engine.start(now, ask.id, name, ask.tokens);
        outcomes.wrongAdapter += isThere && name === ask.model ? 0 : 1;
        used.add(`${id} ${name}`);
        scheduleFinish(id);
      })
      .with({ kind: 'refuse' }, ({ request: ask }) => {
        const { arrivedAt: arrival } = arrivedAt.get(ask.id)!;
        outcomes.refusedAfterMs.push(now - arrival);
        waitingByModel.get(ask.model)?.delete(ask.id);
      })
      .with({ kind: 'load' }, ({ engine, model, name }) => {
        loadsInFlight += 1;
        outcomes.loads += 1;
        loadStarts.push(now);
        const inWindow = loadStarts.filter((start) => start > now - 1000).length;
        outcomes.mostLoadsInOneSecond = Math.max(outcomes.mostLoadsInOneSecond, inWindow);
        const crowding = Math.max(1, loadsInFlight / store.maxInFlight);
        const ok = random() >= failureShare;
        const boot = boots.get(engine) ?? 0;
        const happening = { kind: 'loaded', engine, model, name, ok, boot } as const;
        queue.push(now + store.loadMs * slowness * crowding, happening);
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

  function noteAnswer(now: number, id: string): void {
    const arrival = arrivedAt.get(id)!;
    const grant = outcomes.grants.get(id)!;
    outcomes.answers.push({
      stallMs: Math.max(0, (stallEnds.get(id) ?? now) - arrival.arrivedAt),
      firstTokenMs: grant.at + grant.stepMs - arrival.arrivedAt,
      isLate: grant.at > arrival.startBy + TICK_MS,
    });
  }
}
