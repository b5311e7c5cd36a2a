import { expect } from 'chai';
import fc from 'fast-check';
import createPool from '../../src/pool/createPool';
import createValuePolicy from '../../src/pool/createValuePolicy';
import type PoolAction from '../../src/pool/PoolAction';

const SEED = 20261204;
const MODELS = 8;
const ENGINES = ['e1', 'e2'];

/** One thing that happens to a pool; numbers pick among what is possible at that moment. */
type Move =
  | { kind: 'ask'; model: number }
  | { kind: 'finish'; pick: number }
  | { kind: 'order'; pick: number; ok: boolean }
  | { kind: 'reset'; engine: number; keep: number }
  | { kind: 'wait'; ms: number };

const move: fc.Arbitrary<Move> = fc.oneof(
  fc.constant({ kind: 'wait' as const, ms: 400 }),
  fc.record({ kind: fc.constant('ask' as const), model: fc.nat(MODELS - 1) }),
  fc.record({ kind: fc.constant('finish' as const), pick: fc.nat(50) }),
  fc.record({ kind: fc.constant('order' as const), pick: fc.nat(50), ok: fc.boolean() }),
  fc.record({
    kind: fc.constant('reset' as const),
    engine: fc.nat(1),
    keep: fc.constantFrom(0, 2, 2, 2),
  }),
  fc.record({ kind: fc.constant('wait' as const), ms: fc.nat(1500) }),
);

describe('pool', () => {
  it('keeps its promises in any order of events', () => {
    fc.assert(fc.property(fc.array(move, { minLength: 60, maxLength: 160, size: 'max' }), run), {
      seed: SEED,
      numRuns: 400,
    });
  });
});

/** Plays moves on a pool beside a plain model of engines and requests, and compares. */
function run(moves: Move[]): void {
  const pool = createPool(
    { loadsPerSecond: 3, maxLoadsInFlight: 2, loadMs: 250, stallWeight: 0.5 },
    createValuePolicy(),
    (model) => model,
  );
  const orders: Extract<PoolAction, { kind: 'load' | 'evict' }>[] = [];
  const granted = new Map<string, { engine: string; name: string }>();
  const open = new Set<string>();
  const held = new Map(ENGINES.map((engine) => [engine, new Set<string>()]));
  let now = 0;
  let ids = 0;
  ENGINES.forEach((id) =>
    pool.setEngine({ id, slots: 2, batchSize: 2, dataCentre: 'a', usable: true }),
  );
  moves.forEach(play);
  // Whatever is still on its way ends well, and time passes: nothing may be left over.
  for (let round = 0; round < 400 && (orders.length > 0 || open.size > 0); round += 1) {
    play({ kind: 'order', pick: 0, ok: true });
    play({ kind: 'finish', pick: 0 });
    play({ kind: 'wait', ms: 200 });
  }
  expect(open.size).to.equal(0);
  expect(pool.getWaitingCount()).to.equal(0);
  expect(pool.getLoadsInFlight()).to.equal(0);
  pool.view.engines.forEach((engine) => {
    expect(engine.running).to.equal(0);
    engine.resident.forEach((slot) => expect(slot.state).to.equal('resident'));
  });

  function play(next: Move): void {
    switch (next.kind) {
      case 'ask': {
        ids += 1;
        open.add(String(ids));
        const ask = { id: String(ids), model: `m${next.model}`, team: 't', priority: 5 };
        const times = { arrivedAt: now, startBy: now + 4000, tokens: 10, weight: 1 };
        take(pool.submit(now, { ...ask, ...times, class: 'interactive' }));
        break;
      }
      case 'finish': {
        const id = [...granted.keys()][next.pick % Math.max(1, granted.size)];
        if (id !== undefined) {
          granted.delete(id);
          open.delete(id);
          take(pool.finish(now, id));
        }
        break;
      }
      case 'order': {
        const [order] = orders.splice(next.pick % Math.max(1, orders.length), 1);
        if (order) {
          const names = held.get(order.engine)!;
          if (order.kind === 'load') {
            take(
              end(
                () => names.add(order.name),
                next.ok,
                () => pool.completeLoad(now, order.engine, order.name, next.ok),
              ),
            );
          } else {
            take(
              end(
                () => names.delete(order.name),
                next.ok,
                () => pool.completeEviction(now, order.engine, order.name, next.ok),
              ),
            );
          }
        }
        break;
      }
      case 'reset': {
        const engine = ENGINES[next.engine];
        const names = [...held.get(engine)!].filter((_, index) => index < next.keep);
        held.set(engine, new Set(names));
        [...granted].forEach(([id, place]) => {
          if (place.engine === engine && !names.includes(place.name)) {
            granted.delete(id);
            open.delete(id);
            take(pool.finish(now, id));
          }
        });
        const rows = names.map((name) => ({ model: name, name, pinnedUntil: now }));
        take(pool.resetEngine(now, engine, rows));
        break;
      }
      default:
        now += next.ms;
        take(pool.tick(now));
    }
  }

  function end(effect: () => void, ok: boolean, decide: () => PoolAction[]): PoolAction[] {
    if (ok) {
      effect();
    }
    return decide();
  }

  function take(actions: PoolAction[]): void {
    actions.forEach((action) => {
      if (action.kind === 'grant') {
        expect(open.has(action.request.id), 'granted twice or after its end').to.equal(true);
        expect(granted.has(action.request.id)).to.equal(false);
        expect(action.name).to.equal(action.request.model);
        granted.set(action.request.id, { engine: action.engine, name: action.name });
      } else if (action.kind === 'refuse') {
        expect(granted.has(action.request.id), 'refused and run').to.equal(false);
        open.delete(action.request.id);
      } else {
        if (action.kind === 'evict') {
          const inUse = [...granted.values()].some(
            (place) => place.engine === action.engine && place.name === action.name,
          );
          expect(inUse, `evicts ${action.name} in service`).to.equal(false);
        }
        orders.push(action);
      }
    });
  }
}
