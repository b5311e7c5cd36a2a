import { expect } from 'chai';
import type Message from '../../src/mesh/Message';
import createOriginMemory from '../../src/streams/createOriginMemory';
import createOriginPublisher from '../../src/streams/createOriginPublisher';
import RESUMABLE_MS from '../../src/streams/RESUMABLE_MS';

const TICK_MS = 50;

function createOrigins(count: number, from = 0) {
  return Array.from({ length: count }, (_, index) => ({
    request: `r${from + index}`,
    service: 's',
    version: 'v1',
  }));
}

/** Creates the publisher of a hub; its calls to the key-value service fail while `isAway` is set. */
function createHub(dataCentres: number) {
  const state = { isAway: false, puts: 0, leases: 0 };
  const messages: Message[] = [];
  const answer = <Value>(value: Value) =>
    state.isAway
      ? { ok: false as const, error: { kind: 'notDone' as const, reason: 'away' } }
      : { ok: true as const, value };
  const publisher = createOriginPublisher(
    {
      keyValue: {
        transact: async () => {
          state.puts += 1;
          return answer({ succeeded: true, revision: 1, read: [] });
        },
        grantLease: async () => {
          state.leases += 1;
          return answer('1');
        },
      },
      getHub: () => 'a',
      getDataCentreCount: () => dataCentres,
      send: () => true,
      broadcast: (message) => messages.push(message),
      log: () => {},
    },
    { address: 'a', incarnation: 'i' },
  );
  const run = async (from: number, durationMs: number, perTick: number) => {
    for (let at = 0; at < durationMs; at += TICK_MS) {
      publisher.add(createOrigins(perTick, (from + at) * 1000));
      publisher.publish(from + at);
      await new Promise(setImmediate);
    }
  };
  return { state, messages, publisher, run };
}

describe('createOriginPublisher', () => {
  [3, 25].forEach((dataCentres) => {
    it(`writes at most 50 records a second from ${dataCentres} data centres together`, async () => {
      const hub = createHub(dataCentres);
      await hub.run(0, 10_000, 3);
      expect((hub.state.puts / 10) * dataCentres).to.be.at.most(50);
      expect(hub.state.leases).to.equal(1);
    });
  });

  it('writes nothing while no stream begins', async () => {
    const hub = createHub(3);
    await hub.run(0, 5000, 0);
    expect(hub.state).to.deep.equal({ isAway: false, puts: 0, leases: 0 });
  });

  it('records after an outage what began meanwhile, with few calls during it', async () => {
    const hub = createHub(3);
    hub.state.isAway = true;
    await hub.run(0, 5000, 1);
    expect(hub.state.puts + hub.state.leases).to.be.at.most(6);
    hub.state.isAway = false;
    await hub.run(6000, 1000, 0);
    expect(hub.state.puts).to.equal(1);
    const told = hub.messages.flatMap((message) =>
      message.kind === 'streamOrigins' ? message.origins : [],
    );
    expect(told).to.have.length(100);
  });

  it('reads what it writes, and nothing from records of another form', () => {
    const { publisher } = createHub(1);
    const key = '/baobablink/streamOrigins/i/1';
    expect(publisher.readRecord(key, '[["r0","s","v1"]]')).to.deep.equal(createOrigins(1));
    ['{', '[[1]]', undefined].forEach((value) =>
      expect(publisher.readRecord(key, value)).to.deep.equal([]),
    );
  });
});

describe('createOriginMemory', () => {
  it('forgets streams that are too old to be resumed, and takes bounded memory', () => {
    const memory = createOriginMemory();
    createOrigins(100_001).forEach((origin) => memory.add(0, origin));
    expect(memory.tryGet('r0')).to.equal(undefined);
    expect(memory.tryGet('r1')).not.to.equal(undefined);
    memory.add(RESUMABLE_MS + 1, { request: 'new', service: 's', version: 'v1' });
    expect(memory.tryGet('r1')).to.equal(undefined);
    expect(memory.getOf(RESUMABLE_MS + 1, 's')).to.have.length(1);
  });
});
