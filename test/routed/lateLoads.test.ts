import { expect } from 'chai';
import createUnansweredLoads from '../../src/engines/createUnansweredLoads';
import createOwnedEngines from '../../src/engines/createOwnedEngines';
import type EngineCommand from '../../src/engines/EngineCommand';
import type Upstream from '../../src/upstream/Upstream';
import createVirtualClock from '../scenario/createVirtualClock';

const ADAPTER_SLOTS = 3;
const LATE_MS = 3000;
const SERVICE = {
  batchSlots: 8,
  adapterSlots: ADAPTER_SLOTS,
  memoryMb: 10,
  models: [{ name: 'm', sizeMb: 1, loadMs: 300, adapterSizeMb: 1 }],
};

describe('createUnansweredLoads', () => {
  it('keeps room for loads of other processes only on engines that have restarted lately', () => {
    const loads = createUnansweredLoads();
    const run = { startedAt: 5000, sequence: 0, slots: 11 };
    expect(loads.getReserve(0, run)).to.equal(0);
    loads.recordOthers(0, 10_000, run.startedAt);
    expect(loads.getReserve(0, run)).to.equal(0);
    loads.recordOthers(0, 10_000, run.startedAt - 1);
    expect(loads.getReserve(0, run)).to.equal(6);
    expect(loads.getReserve(0, { ...run, startedAt: 20_000 })).to.equal(6);
    expect(loads.getReserve(20_000, run)).to.equal(0);
    loads.recordOthers(20_000, 60_000, run.startedAt - 1);
    expect(loads.getReserve(20_000, run)).to.equal(0);
  });
});

describe('createOwnedEngines', () => {
  it('keeps room on a restarted engine for a load sent before the restart and executed late', async () => {
    const { clock, fake, engines, restart, load } = createTestEngines();
    await load('a1');
    await load('a2');
    await load('a3');
    fake.areLoadsSilent = true;
    await load('a4');
    const [{ expectedSequence }] = fake.lateCommands;
    restart();
    for (let index = 0; fake.sequence < expectedSequence && index < 9; index += 1) {
      await load(`b${index}`);
    }
    await clock.advance(LATE_MS);
    fake.executeLate();
    expect(fake.maxOccupied).to.be.at.most(ADAPTER_SLOTS);
    expect(engines.getIds()).to.deep.equal(['e']);
  });
});

/** Creates the controller of one owned engine, which executes commands in order of its count. */
function createTestEngines() {
  const clock = createVirtualClock();
  const fake = {
    adapters: new Set<string>(),
    /** Not 0 at first: a former owner has sent a command. */
    sequence: 1,
    maxOccupied: 0,
    /** Whether loads get no response and stay in `lateCommands`. */
    areLoadsSilent: false,
    lateCommands: [] as { command: EngineCommand; expectedSequence: number }[],
    executeLate: () =>
      fake.lateCommands.forEach(({ command, expectedSequence }) =>
        execute(command, expectedSequence),
      ),
  };
  let upstream: Upstream = {
    id: 'e',
    startedAt: 1,
    service: 's',
    address: '127.0.0.1:1',
    dataCentre: 'x',
    state: 'ready',
    slots: 8,
    softwareVersion: undefined,
    models: [],
  };

  function execute({ kind, adapter = '' }: EngineCommand, expectedSequence: number) {
    if (expectedSequence !== fake.sequence) {
      return { ok: false as const, error: { kind: 'conflict' as const } };
    }
    if (kind === 'load' && fake.adapters.has(adapter)) {
      return { ok: true as const, value: 'held' as const };
    }
    fake.sequence += 1;
    if (kind === 'load') {
      fake.adapters.add(adapter);
    } else {
      fake.adapters.delete(adapter);
    }
    fake.maxOccupied = Math.max(fake.maxOccupied, fake.adapters.size);
    return {
      ok: true as const,
      value: kind === 'load' ? ('accepted' as const) : ('held' as const),
    };
  }

  const engines = createOwnedEngines(
    {
      ...clock,
      control: {
        sendCommand: async (_, command, { expectedSequence }) => {
          if (fake.areLoadsSilent && command.kind === 'load') {
            fake.lateCommands.push({ command, expectedSequence });
            return { ok: false, error: { kind: 'noAnswer', reason: 'silent' } };
          }
          return execute(command, expectedSequence);
        },
        getReport: async () => ({
          ok: true,
          value: {
            softwareVersion: undefined,
            models: [
              {
                name: 'm',
                version: 1,
                adapters: [...fake.adapters].map((name) => ({ name, version: 1 })),
              },
            ],
            coming: [],
            sequence: fake.sequence,
            isBusy: false,
          },
        }),
      },
      getTimeOfDay: clock.now,
      tryGetFence: () => 1,
      getRestMs: () => 0,
      isPartitioned: () => false,
      observeHead: () => {},
      getVersion: () => 1,
      getEngineService: () => SERVICE,
      getMaxConcurrentLoads: () => 4,
      announce: () => {},
      refuse: () => {},
      countCommand: () => {},
      log: () => {},
    },
    {
      upstreams: { tryGet: () => upstream },
      usage: {
        getUse: () => ({ inFlight: 0, lastUsedAt: -Infinity }),
        getBusyAdapters: () => [],
      },
    },
    { address: 'vm' },
  );
  engines.open('e');

  async function load(adapter: string): Promise<void> {
    engines
      .tryGet('e')!
      .requestLoad({ model: 'm', adapter, version: 1, urgency: 0, expiresAt: Infinity }, 'vm');
    await clock.advance(400);
  }

  /** Restarts the engine under the same id, without adapters and with a command count of 0. */
  function restart(): void {
    fake.areLoadsSilent = false;
    fake.adapters.clear();
    fake.sequence = 0;
    fake.maxOccupied = 0;
    upstream = { ...upstream, startedAt: 2 };
    engines.reopenIfRestarted(upstream);
  }

  return { clock, fake, engines, restart, load };
}
