import { expect } from 'chai';
import createRandom from '../../bench/createRandom';
import createEngine from '../../src/engines/createEngine';
import type EngineFault from '../../src/engines/EngineFault';
import type EngineCommand from '../../src/engines/EngineCommand';
import type EngineState from '../../src/engines/EngineState';
import type Result from '../../src/shared/Result';
import type Upstream from '../../src/upstream/Upstream';
import createVirtualClock from '../scenario/createVirtualClock';

const ADAPTER_SLOTS = 3;
const LOAD_MS = 250;
const REPORT_LAG_MS = 100;
const LATE_COMMAND_MS = 3000;

const UPSTREAM: Upstream = {
  id: 'e1',
  startedAt: 1,
  service: 's',
  address: '127.0.0.1:1',
  dataCentre: 'x',
  state: 'ready',
  slots: 8,
  softwareVersion: undefined,
  models: [],
};

describe('createEngine', () => {
  it('calls no engine that wants no requests, and refuses loads there at once', async () => {
    const { clock, engine, fake, refused, getState } = createTestEngine();
    await clock.advance(1000);
    requestLoad(engine, 'a1');
    fake.restsUntil = clock.now() + 3000;
    const since = clock.now();
    await clock.advance(100);
    requestLoad(engine, 'a2');
    engine.invalidateState();
    expect(refused).to.include('m/a2 failed');
    await clock.advance(2800);
    expect(fake.callTimes.filter((at) => at > since)).to.have.length(0);
    expect(getState().isReachable).to.equal(true);
    await clock.advance(1000);
    requestLoad(engine, 'a3');
    await clock.advance(1000);
    expect(getResidentKeys(getState())).to.include('m/a3');
  });

  it('loads a requested adapter and announces it as resident', async () => {
    const { clock, engine, getState } = createTestEngine();
    requestLoad(engine, 'a1');
    await clock.advance(600);
    expect(getResidentKeys(getState())).to.deep.equal(['m/a1']);
  });

  it('keeps the sequence number in step through loads, repeated commands and unloads', async () => {
    const { clock, engine, getState, fake } = createTestEngine();
    for (let index = 0; index < 12; index += 1) {
      requestLoad(engine, `a${index}`);

      await clock.advance(1000);
    }
    expect(fake.conflicts).to.equal(0);
    expect(fake.crashes).to.equal(0);
    expect(getResidentKeys(getState())).to.include('m/a11');
  });

  it('never exceeds the adapter slots if responses are lost and commands run late', async () => {
    const { clock, engine, fake } = createTestEngine();
    for (let index = 0; index < 40; index += 1) {
      fake.loseNextResponse = index % 3 === 0;
      requestLoad(engine, `a${index % 9}`);

      await clock.advance(350);
    }
    await clock.advance(LATE_COMMAND_MS * 2);
    expect(fake.crashes).to.equal(0);
    expect(fake.lostResponses).to.be.greaterThan(5);
  });

  it('takes a conflict for no proof of an unload if a late load may have caused it', async () => {
    const { clock, engine, fake } = createTestEngine();
    requestLoad(engine, 'a1');
    requestLoad(engine, 'a2');
    await clock.advance(1000);
    fake.getLateMs = ({ kind, adapter }) =>
      kind === 'load' && adapter === 'a3' ? LATE_COMMAND_MS : undefined;
    requestLoad(engine, 'a3');
    await clock.advance(LATE_COMMAND_MS + 100);
    let unloadCount = 0;
    fake.getLateMs = ({ kind }) => {
      unloadCount += kind === 'unload' ? 1 : 0;
      return kind === 'unload' && unloadCount === 1 ? Infinity : undefined;
    };
    requestLoad(engine, 'a4');
    requestLoad(engine, 'a5');
    await clock.advance(3000);
    expect(unloadCount).to.be.greaterThan(1);
    expect(fake.crashes).to.equal(0);
  });

  it('never exceeds the adapter slots if half of all commands run seconds late', async () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const { clock, engine, fake } = createTestEngine();
      const random = createRandom(seed);
      fake.getLateMs = () => (random() < 0.5 ? 2000 + random() * 10_000 : undefined);
      for (let index = 0; index < 200; index += 1) {
        requestLoad(engine, `a${Math.floor(random() * 12)}`);
        await clock.advance(300);
      }
      expect(fake.crashes, `seed ${seed}`).to.equal(0);
    }
  });

  it('makes an adapter resident in time although the response to its load was lost', async () => {
    const { clock, engine, fake, getState, inUse } = createTestEngine();
    for (let index = 0; index < 8; index += 1) {
      fake.loseNextResponse = true;
      inUse.clear();
      requestLoad(engine, `a${index}`);

      await clock.advance(700);
      expect(getResidentKeys(getState())).to.include(`m/a${index}`);
    }
    await clock.advance(LATE_COMMAND_MS * 2);
    expect(fake.crashes).to.equal(0);
  });

  it('fills all adapter slots while requests use the model without an adapter', async () => {
    const { clock, engine, inUse, getState } = createTestEngine();
    inUse.add('m');
    ['a1', 'a2', 'a3'].forEach((name) => requestLoad(engine, name));
    await clock.advance(1500);
    expect(getResidentKeys(getState())).to.have.length(3);
  });

  it('keeps the slot of an adapter that is still in use after its unload is accepted', async () => {
    const { clock, engine, fake, getState } = createTestEngine();
    ['a1', 'a2', 'a3'].forEach((name) => requestLoad(engine, name));
    await clock.advance(1500);
    ['a1', 'a2', 'a3'].forEach((key) => fake.running.add(key));
    requestLoad(engine, 'a4');
    await clock.advance(2000);
    expect(fake.crashes).to.equal(0);
    fake.running.clear();
    await clock.advance(1000);
    requestLoad(engine, 'a4');
    await clock.advance(1000);
    expect(getResidentKeys(getState())).to.include('m/a4');
    expect(fake.crashes).to.equal(0);
  });

  it('keeps the slot of an adapter in use whose unload is executed late and not reported', async () => {
    const { clock, engine, fake } = createTestEngine();
    ['a1', 'a2', 'a3'].forEach((name) => requestLoad(engine, name));
    await clock.advance(1500);
    ['a1', 'a2', 'a3'].forEach((key) => fake.running.add(key));
    fake.areUnloadsSilent = true;
    requestLoad(engine, 'a4');
    await clock.advance(LATE_COMMAND_MS);
    fake.areUnloadsSilent = false;
    for (let index = 5; index < 12; index += 1) {
      requestLoad(engine, `a${index}`);
      await clock.advance(500);
    }
    expect(fake.crashes).to.equal(0);
    fake.running.clear();
    await clock.advance(1500);
    requestLoad(engine, 'a4');
    await clock.advance(1500);
    expect(fake.crashes).to.equal(0);
    expect([...fake.resident.keys()]).to.include('a4');
  });

  it('announces an unreachable engine and immediately refuses its load requests', async () => {
    const { clock, engine, fake, getState, refused } = createTestEngine();
    requestLoad(engine, 'a1');
    await clock.advance(600);
    fake.isUnresponsive = true;
    requestLoad(engine, 'a2');
    await clock.advance(600);
    expect(getState().isReachable).to.equal(false);
    expect(refused).to.deep.equal(['m/a2 failed']);
    fake.isUnresponsive = false;
    await clock.advance(600);
    expect(getState().isReachable).to.equal(true);
  });

  it('sends no command without a valid ownership and refuses load requests', async () => {
    const { clock, engine, fake, refused, ownership } = createTestEngine();
    ownership.fence = undefined;
    requestLoad(engine, 'a1');
    await clock.advance(2000);
    expect(fake.commandCount).to.equal(0);
    expect(refused).to.deep.equal(['m/a1 failed']);
  });

  it('refuses a load immediately if it will get no adapter slot in time', async () => {
    const { clock, engine, refused, inUse } = createTestEngine();
    ['a1', 'a2', 'a3'].forEach((name) => requestLoad(engine, name));
    await clock.advance(1500);
    ['m/a1', 'm/a2', 'm/a3'].forEach((key) => inUse.add(key));
    requestLoad(engine, 'a4', clock.now() + 200);
    await clock.advance(20);
    expect(refused).to.deep.equal(['m/a4 full']);
  });

  it('loads an adapter as soon as the use of another one ends', async () => {
    const { clock, engine, refused, inUse, getState } = createTestEngine();
    ['a1', 'a2', 'a3'].forEach((name) => requestLoad(engine, name));
    await clock.advance(1500);
    ['m/a1', 'm/a2', 'm/a3'].forEach((key) => inUse.add(key));
    requestLoad(engine, 'a4', clock.now() + 1000);
    await clock.advance(300);
    expect(getResidentKeys(getState())).to.deep.equal(['m/a1', 'm/a2', 'm/a3']);
    inUse.delete('m/a2');
    engine.handleUseChange();
    await clock.advance(400);
    expect(refused).to.deep.equal([]);
    expect(getResidentKeys(getState())).to.have.members(['m/a1', 'm/a3', 'm/a4']);
  });

  it('loads the model again if the engine is empty after a restart', async () => {
    const { clock, engine, getState, fake } = createTestEngine();
    fake.models = [];
    engine.invalidateState();
    await clock.advance(4000);
    expect(getState().models.map(({ name }) => name)).to.deep.equal(['m']);
  });
});

function requestLoad(
  engine: ReturnType<typeof createEngine>,
  adapter: string,
  expiresAt = Infinity,
): void {
  engine.requestLoad({ model: 'm', adapter, version: 1, urgency: 0, expiresAt }, 'vm1');
}

function getResidentKeys(state: Pick<EngineState, 'adapters'>): string[] {
  return state.adapters.filter((adapter) => adapter.state === 'resident').map(({ key }) => key);
}

/**
 * Creates an engine controller and a fake engine that responds as the platform documents it. The
 * response to a command can be lost; the command is then executed at once or late.
 */
function createTestEngine() {
  const clock = createVirtualClock();
  const fake = {
    models: ['m'],
    resident: new Map<string, number>(),
    loading: new Map<string, number>(),
    sequence: 0,
    commandCount: 0,
    callTimes: [] as number[],
    restsUntil: -Infinity,
    conflicts: 0,
    crashes: 0,
    lostResponses: 0,
    loseNextResponse: false,
    /** Adapters with requests in progress that the owner's usage counts do not include. */
    running: new Set<string>(),
    /** Adapters that are unloaded once their requests have ended; reports do not list them. */
    leaving: new Set<string>(),
    /** Whether unloads get no response and are executed late. */
    areUnloadsSilent: false,
    /** Whether the engine responds to no command and no report request. */
    isUnresponsive: false,
    /** Returns after which time a command without a response is executed; undefined if it has one, Infinity if it is lost. */
    getLateMs: (() => undefined) as (command: EngineCommand) => number | undefined,
    /** Earlier states; reports are delayed by `REPORT_LAG_MS`. */
    pastStates: [] as { at: number; sequence: number; resident: string[]; loading: string[] }[],
  };
  const ownership: { fence: number | undefined } = { fence: 7 };
  const inUse = new Set<string>();
  const refused: string[] = [];
  let lastState: Omit<EngineState, 'fence' | 'sequence' | 'canLoad'> | undefined;

  function completeLoads(): void {
    fake.loading.forEach((dueAt, key) => {
      if (dueAt <= clock.now()) {
        fake.loading.delete(key);
        fake.resident.set(key, 1);
      }
    });
    const { sequence } = fake;
    fake.pastStates.push({
      at: clock.now(),
      sequence,
      resident: [...fake.resident.keys()],
      loading: [...fake.loading.keys()],
    });
  }

  function executeCommand(
    command: EngineCommand,
    expectedSequence: number,
  ): Result<'accepted' | 'held', EngineFault> {
    completeLoads();
    if (expectedSequence !== fake.sequence) {
      fake.conflicts += 1;
      return { ok: false, error: { kind: 'conflict' } };
    }
    const key = command.adapter ?? '';
    if (command.adapter === undefined) {
      fake.sequence += 1;
      fake.models = ['m'];
    } else if (command.kind === 'unload') {
      fake.sequence += 1;
      if (fake.running.has(key)) {
        fake.resident.delete(key);
        fake.leaving.add(key);
        completeLoads();
        return { ok: true, value: 'accepted' };
      }
      fake.resident.delete(key);
      fake.leaving.delete(key);
      completeLoads();
      return { ok: true, value: 'held' };
    } else if (fake.resident.has(key)) {
      return { ok: true, value: 'held' };
    } else if (!fake.loading.has(key)) {
      fake.sequence += 1;
      fake.loading.set(key, clock.now() + LOAD_MS);
    }
    if (fake.resident.size + fake.loading.size + fake.leaving.size > ADAPTER_SLOTS) {
      fake.crashes += 1;
    }
    completeLoads();
    return { ok: true, value: 'accepted' };
  }

  const engine = createEngine(
    {
      ...clock,
      sendCommand: async (command, condition) => {
        fake.commandCount += 1;
        fake.callTimes.push(clock.now());
        if (fake.isUnresponsive) {
          return { ok: false, error: { kind: 'noAnswer', reason: 'silent' } };
        }
        const lateMs = fake.getLateMs(command);
        if (lateMs !== undefined) {
          if (Number.isFinite(lateMs)) {
            clock.setTimer(lateMs, () => executeCommand(command, condition.expectedSequence));
          }
          return { ok: false, error: { kind: 'noAnswer', reason: 'lost' } };
        }
        if (fake.areUnloadsSilent && command.kind === 'unload') {
          clock.setTimer(LATE_COMMAND_MS / 2, () =>
            executeCommand(command, condition.expectedSequence),
          );
          return { ok: false, error: { kind: 'noAnswer', reason: 'lost' } };
        }
        if (fake.loseNextResponse) {
          fake.loseNextResponse = false;
          fake.lostResponses += 1;
          clock.setTimer(fake.lostResponses % 2 === 0 ? 0 : LATE_COMMAND_MS, () => {
            executeCommand(command, condition.expectedSequence);
          });
          return { ok: false, error: { kind: 'noAnswer', reason: 'lost' } };
        }
        return executeCommand(command, condition.expectedSequence);
      },
      getReport: async () => {
        fake.callTimes.push(clock.now());
        if (fake.isUnresponsive) {
          return { ok: false, error: { kind: 'noAnswer', reason: 'silent' } };
        }
        completeLoads();
        const reportedState =
          fake.pastStates.filter(({ at }) => at <= clock.now() - REPORT_LAG_MS).at(-1) ??
          fake.pastStates[0];
        return {
          ok: true,
          value: {
            models: fake.models.map((name) => ({
              name,
              version: 1,
              adapters: reportedState.resident.map((adapter) => ({ name: adapter, version: 1 })),
            })),
            coming: reportedState.loading.map((adapter) => ({ model: 'm', adapter, version: 1 })),
            sequence: reportedState.sequence,
            isBusy: false,
          },
        };
      },
      tryGetFence: () => ownership.fence,
      getRestMs: (now) => Math.max(0, fake.restsUntil - now),
      isPartitioned: () => false,
      getUse: (now, key) => ({
        inFlight: inUse.has(key) ? 1 : 0,
        lastUsedAt: inUse.has(key) ? now : -Infinity,
      }),
      getBusyKeys: () => [...inUse],
      getVersion: () => 1,
      getModels: () => [{ name: 'm', sizeMb: 1, loadMs: 300, adapterSizeMb: 1 }],
      getAdapterSlots: () => ADAPTER_SLOTS,
      getMaxConcurrentLoads: () => 4,
      announce: (state) => {
        lastState = state;
      },
      refuse: (request, reason) => refused.push(`${request.key} ${reason}`),
      countCommand: () => {},
      log: () => {},
    },
    UPSTREAM,
    { delayMs: 0 },
  );
  engine.run();
  return { clock, engine, fake, ownership, inUse, refused, getState: () => lastState! };
}
