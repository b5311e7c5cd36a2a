import { expect } from 'chai';
import fc from 'fast-check';
import createPool from '../../src/pool/createPool';
import createValuePolicy from '../../src/pool/createValuePolicy';
import type PoolAction from '../../src/pool/PoolAction';

const SEED = 20261204;
const MODEL_COUNT = 8;
const ENGINES = ['e1', 'e2'];

/**
 * An event that changes a pool. `pick` selects one of the current grants or pending commands,
 * modulo their number.
 */
type PoolEvent =
  | { kind: 'submit'; model: number }
  | { kind: 'finish'; pick: number }
  | { kind: 'complete'; pick: number; ok: boolean }
  | { kind: 'reset'; engine: number; keptCount: number }
  | { kind: 'wait'; ms: number };

const eventArbitrary: fc.Arbitrary<PoolEvent> = fc.oneof(
  fc.constant({ kind: 'wait' as const, ms: 400 }),
  fc.record({ kind: fc.constant('submit' as const), model: fc.nat(MODEL_COUNT - 1) }),
  fc.record({ kind: fc.constant('finish' as const), pick: fc.nat(50) }),
  fc.record({ kind: fc.constant('complete' as const), pick: fc.nat(50), ok: fc.boolean() }),
  fc.record({
    kind: fc.constant('reset' as const),
    engine: fc.nat(1),
    keptCount: fc.constantFrom(0, 2, 2, 2),
  }),
  fc.record({ kind: fc.constant('wait' as const), ms: fc.nat(1500) }),
);

describe('pool', () => {
  it('keeps its invariants in any order of events', () => {
    fc.assert(
      fc.property(
        fc.array(eventArbitrary, { minLength: 60, maxLength: 160, size: 'max' }),
        checkInvariants,
      ),
      {
        seed: SEED,
        numRuns: 400,
      },
    );
  });
});

/** Applies events to a pool and to a simple model of engines and requests, and compares both. */
function checkInvariants(events: PoolEvent[]): void {
  const pool = createPool(
    { loadsPerSecond: 3, maxLoadsInFlight: 2, loadMs: 250, stallWeight: 0.5 },
    createValuePolicy(),
    (model) => model,
  );
  const pendingCommands: Extract<PoolAction, { kind: 'load' | 'evict' }>[] = [];
  const grants = new Map<string, { engine: string; name: string }>();
  const unfinished = new Set<string>();
  const namesByEngine = new Map(ENGINES.map((engine) => [engine, new Set<string>()]));
  let now = 0;
  let requestCount = 0;
  ENGINES.forEach((id) =>
    pool.setEngine({ id, slots: 2, batchSize: 2, dataCentre: 'a', usable: true }),
  );
  events.forEach(applyEvent);
  // Once all pending commands succeed and all requests finish, the pool must be idle.
  for (
    let round = 0;
    round < 400 && (pendingCommands.length > 0 || unfinished.size > 0);
    round += 1
  ) {
    applyEvent({ kind: 'complete', pick: 0, ok: true });
    applyEvent({ kind: 'finish', pick: 0 });
    applyEvent({ kind: 'wait', ms: 200 });
  }
  expect(unfinished.size).to.equal(0);
  expect(pool.getWaitingCount()).to.equal(0);
  expect(pool.getLoadsInFlight()).to.equal(0);
  pool.view.engines.forEach((engine) => {
    expect(engine.running).to.equal(0);
    engine.resident.forEach((slot) => expect(slot.state).to.equal('resident'));
  });

  function applyEvent(event: PoolEvent): void {
    switch (event.kind) {
      case 'submit': {
        requestCount += 1;
        unfinished.add(String(requestCount));
        const request = {
          id: String(requestCount),
          model: `m${event.model}`,
          team: 't',
          priority: 5,
        };
        const times = { arrivedAt: now, startBy: now + 4000, tokens: 10, weight: 1 };
        handleActions(pool.submit(now, { ...request, ...times, class: 'interactive' }));
        break;
      }
      case 'finish': {
        const id = [...grants.keys()][event.pick % Math.max(1, grants.size)];
        if (id !== undefined) {
          grants.delete(id);
          unfinished.delete(id);
          handleActions(pool.finish(now, id));
        }
        break;
      }
      case 'complete': {
        const [command] = pendingCommands.splice(
          event.pick % Math.max(1, pendingCommands.length),
          1,
        );
        if (command) {
          const names = namesByEngine.get(command.engine)!;
          if (command.kind === 'load') {
            handleActions(
              completeCommand(
                () => names.add(command.name),
                event.ok,
                () => pool.completeLoad(now, command.engine, command.name, event.ok),
              ),
            );
          } else {
            handleActions(
              completeCommand(
                () => names.delete(command.name),
                event.ok,
                () => pool.completeEviction(now, command.engine, command.name, event.ok),
              ),
            );
          }
        }
        break;
      }
      case 'reset': {
        const engine = ENGINES[event.engine];
        const names = [...namesByEngine.get(engine)!].filter((_, index) => index < event.keptCount);
        namesByEngine.set(engine, new Set(names));
        [...grants].forEach(([id, grant]) => {
          if (grant.engine === engine && !names.includes(grant.name)) {
            grants.delete(id);
            unfinished.delete(id);
            handleActions(pool.finish(now, id));
          }
        });
        const residentAdapters = names.map((name) => ({ model: name, name, pinnedUntil: now }));
        handleActions(pool.resetEngine(now, engine, residentAdapters));
        break;
      }
      default:
        now += event.ms;
        handleActions(pool.tick(now));
    }
  }

  function completeCommand(
    changeEngine: () => void,
    ok: boolean,
    reportToPool: () => PoolAction[],
  ): PoolAction[] {
    if (ok) {
      changeEngine();
    }
    return reportToPool();
  }

  function handleActions(actions: PoolAction[]): void {
    actions.forEach((action) => {
      if (action.kind === 'grant') {
        expect(
          unfinished.has(action.request.id),
          'granted after it finished or was refused',
        ).to.equal(true);
        expect(grants.has(action.request.id)).to.equal(false);
        expect(action.name).to.equal(action.request.model);
        grants.set(action.request.id, { engine: action.engine, name: action.name });
      } else if (action.kind === 'refuse') {
        expect(grants.has(action.request.id), 'refused after it was granted').to.equal(false);
        unfinished.delete(action.request.id);
      } else {
        if (action.kind === 'evict') {
          const inUse = [...grants.values()].some(
            (grant) => grant.engine === action.engine && grant.name === action.name,
          );
          expect(inUse, `${action.name} is evicted while in use`).to.equal(false);
        }
        pendingCommands.push(action);
      }
    });
  }
}
