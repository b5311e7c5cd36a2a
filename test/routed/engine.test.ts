import { expect } from 'chai';
import createEngine from '../../src/engines/createEngine';
import type EngineFault from '../../src/engines/EngineFault';
import type EngineCommand from '../../src/engines/EngineCommand';
import type EngineState from '../../src/engines/EngineState';
import type Result from '../../src/shared/Result';
import type Upstream from '../../src/upstream/Upstream';
import createVirtualClock from '../scenario/createVirtualClock';

const PLACES = 3;
const LOAD_MS = 250;
const REPORT_LAG_MS = 100;
const LATE_MS = 3000;

const UPSTREAM: Upstream = {
  id: 'e1',
  startedAt: 1,
  service: 's',
  address: '127.0.0.1:1',
  dataCentre: 'x',
  state: 'ready',
  slots: 8,
  models: [],
};

describe('the owner of an engine', () => {
  it('loads what is wanted, and tells when it is there', async () => {
    const { time, engine, state } = createTrial();
    want(engine, 'a1');
    await time.advance(600);
    expect(getResident(state())).to.deep.equal(['m/a1']);
  });

  it('keeps the order count right through loads, repeats and unloads', async () => {
    const { time, engine, state, fake } = createTrial();
    for (let index = 0; index < 12; index += 1) {
      want(engine, `a${index}`);

      await time.advance(1000);
    }
    expect(fake.conflicts).to.equal(0);
    expect(fake.crashes).to.equal(0);
    expect(getResident(state())).to.include('m/a11');
  });

  it('never holds more than there are places for, when orders are lost and carried out late', async () => {
    const { time, engine, fake } = createTrial();
    for (let index = 0; index < 40; index += 1) {
      fake.loseNext = index % 3 === 0;
      want(engine, `a${index % 9}`);

      await time.advance(350);
    }
    await time.advance(LATE_MS * 2);
    expect(fake.crashes).to.equal(0);
    expect(fake.lost).to.be.greaterThan(5);
  });

  it('has an adapter there in time though its order was not answered', async () => {
    const { time, engine, fake, state, inUse } = createTrial();
    for (let index = 0; index < 8; index += 1) {
      fake.loseNext = true;
      inUse.clear();
      want(engine, `a${index}`);

      await time.advance(700);
      expect(getResident(state())).to.include(`m/a${index}`);
    }
    await time.advance(LATE_MS * 2);
    expect(fake.crashes).to.equal(0);
  });

  it('keeps the place of an adapter whose runs go on after its unload was accepted', async () => {
    const { time, engine, fake, state } = createTrial();
    ['a1', 'a2', 'a3'].forEach((name) => want(engine, name));
    await time.advance(1500);
    ['a1', 'a2', 'a3'].forEach((key) => fake.running.add(key));
    want(engine, 'a4');
    await time.advance(2000);
    expect(fake.crashes).to.equal(0);
    fake.running.clear();
    await time.advance(1000);
    want(engine, 'a4');
    await time.advance(1000);
    expect(getResident(state())).to.include('m/a4');
    expect(fake.crashes).to.equal(0);
  });

  it('tells that an engine does not answer, and refuses at once what is wanted there', async () => {
    const { time, engine, fake, state, refused } = createTrial();
    want(engine, 'a1');
    await time.advance(600);
    fake.isSilent = true;
    want(engine, 'a2');
    await time.advance(600);
    expect(state().isReachable).to.equal(false);
    expect(refused).to.deep.equal(['m/a2 failed']);
    fake.isSilent = false;
    await time.advance(600);
    expect(state().isReachable).to.equal(true);
  });

  it('sends no order while it holds no valid ownership, and refuses what is wanted', async () => {
    const { time, engine, fake, refused, owner } = createTrial();
    owner.fence = undefined;
    want(engine, 'a1');
    await time.advance(2000);
    expect(fake.orders).to.equal(0);
    expect(refused).to.deep.equal(['m/a1 failed']);
  });

  it('refuses at once where every adapter is in use', async () => {
    const { time, engine, refused, inUse } = createTrial();
    ['a1', 'a2', 'a3'].forEach((name) => want(engine, name));
    await time.advance(1500);
    ['m/a1', 'm/a2', 'm/a3'].forEach((key) => inUse.add(key));
    want(engine, 'a4');
    await time.advance(20);
    expect(refused).to.deep.equal(['m/a4 full']);
  });

  it('loads the model again after a restart left the engine empty', async () => {
    const { time, engine, state, fake } = createTrial();
    fake.models = [];
    engine.invalidateState();
    await time.advance(4000);
    expect(state().models.map(({ name }) => name)).to.deep.equal(['m']);
  });
});

function want(engine: ReturnType<typeof createEngine>, adapter: string): void {
  engine.requestLoad({ model: 'm', adapter, version: 1, urgency: 0, expiresAt: Infinity }, 'vm1');
}

function getResident(state: Pick<EngineState, 'adapters'>): string[] {
  return state.adapters.filter((held) => held.state === 'resident').map(({ key }) => key);
}

/** An engine that answers as the platform's pages say, with orders that can be lost. */
function createTrial() {
  const time = createVirtualClock();
  const fake = {
    models: ['m'],
    resident: new Map<string, number>(),
    coming: new Map<string, number>(),
    sequence: 0,
    orders: 0,
    conflicts: 0,
    crashes: 0,
    lost: 0,
    loseNext: false,
    /** Adapters with runs that the owner does not know of. */
    running: new Set<string>(),
    /** Answers nothing at all. */
    isSilent: false,
    /** Reports show the past. */
    past: [] as { at: number; sequence: number; resident: string[]; coming: string[] }[],
  };
  const owner: { fence: number | undefined } = { fence: 7 };
  const inUse = new Set<string>();
  const refused: string[] = [];
  let last: Omit<EngineState, 'fence' | 'sequence' | 'canLoad'> | undefined;

  function settle(): void {
    fake.coming.forEach((dueAt, key) => {
      if (dueAt <= time.now()) {
        fake.coming.delete(key);
        fake.resident.set(key, 1);
      }
    });
    const { sequence } = fake;
    fake.past.push({
      at: time.now(),
      sequence,
      resident: [...fake.resident.keys()],
      coming: [...fake.coming.keys()],
    });
  }

  function carryOut(
    order: EngineCommand,
    expected: number,
  ): Result<'accepted' | 'held', EngineFault> {
    settle();
    if (expected !== fake.sequence) {
      fake.conflicts += 1;
      return { ok: false, error: { kind: 'conflict' } };
    }
    const key = order.adapter ?? '';
    if (order.adapter === undefined) {
      fake.sequence += 1;
      fake.models = ['m'];
    } else if (order.kind === 'unload') {
      fake.sequence += 1;
      if (fake.running.has(key)) {
        return { ok: true, value: 'accepted' };
      }
      fake.resident.delete(key);
      settle();
      return { ok: true, value: 'held' };
    } else if (fake.resident.has(key)) {
      return { ok: true, value: 'held' };
    } else if (!fake.coming.has(key)) {
      fake.sequence += 1;
      fake.coming.set(key, time.now() + LOAD_MS);
    }
    if (fake.resident.size + fake.coming.size > PLACES) {
      fake.crashes += 1;
    }
    settle();
    return { ok: true, value: 'accepted' };
  }

  const engine = createEngine(
    {
      ...time,
      sendCommand: async (order, by) => {
        fake.orders += 1;
        if (fake.isSilent) {
          return { ok: false, error: { kind: 'noAnswer', reason: 'silent' } };
        }
        if (fake.loseNext) {
          fake.loseNext = false;
          fake.lost += 1;
          time.setTimer(fake.lost % 2 === 0 ? 0 : LATE_MS, () => {
            carryOut(order, by.expectedSequence);
          });
          return { ok: false, error: { kind: 'noAnswer', reason: 'lost' } };
        }
        return carryOut(order, by.expectedSequence);
      },
      getReport: async () => {
        if (fake.isSilent) {
          return { ok: false, error: { kind: 'noAnswer', reason: 'silent' } };
        }
        settle();
        const then =
          fake.past.filter(({ at }) => at <= time.now() - REPORT_LAG_MS).at(-1) ?? fake.past[0];
        return {
          ok: true,
          value: {
            models: fake.models.map((name) => ({
              name,
              version: 1,
              adapters: then.resident.map((adapter) => ({ name: adapter, version: 1 })),
            })),
            coming: then.coming.map((adapter) => ({ model: 'm', adapter, version: 1 })),
            sequence: then.sequence,
            isBusy: false,
          },
        };
      },
      tryGetFence: () => owner.fence,
      getUse: (now, key) => ({
        inFlight: inUse.has(key) ? 1 : 0,
        lastUsedAt: inUse.has(key) ? now : -Infinity,
      }),
      getVersion: () => 1,
      getModels: () => [{ name: 'm', sizeMb: 1, loadMs: 300, adapterSizeMb: 1 }],
      getAdapterSlots: () => PLACES,
      getMaxConcurrentLoads: () => 4,
      announce: (state) => {
        last = state;
      },
      refuse: (wanted, reason) => refused.push(`${wanted.key} ${reason}`),
      countCommand: () => {},
      log: () => {},
    },
    UPSTREAM,
  );
  engine.run();
  return { time, engine, fake, owner, inUse, refused, state: () => last! };
}
