import { expect } from 'chai';
import fc from 'fast-check';
import createEngineStates from '../../src/engines/createEngineStates';
import createOwnerLookup from '../../src/engines/createOwnerLookup';
import type Change from '../../src/keyValue/Change';

const ENGINES = ['e1', 'e2', 'e3'];
const KEYS = ['m', 'm/a', 'm/b'];

describe('the engines that hold an adapter', () => {
  // Guards against an index that misses an engine, whose waiting requests would then not be served.
  it('are those whose state shows it, after any changes of states', () => {
    const adapter = fc.record({
      key: fc.constantFrom(...KEYS),
      version: fc.integer({ min: 1, max: 2 }),
      state: fc.constantFrom('resident' as const, 'loading' as const, 'leaving' as const),
    });
    const change = fc.record({
      engine: fc.constantFrom(...ENGINES),
      kind: fc.constantFrom('state', 'registration', 'removeAdapter', 'remove'),
      adapters: fc.array(adapter, { maxLength: 4 }),
      startedAt: fc.integer({ min: 1, max: 2 }),
      key: fc.constantFrom(...KEYS),
    });
    fc.assert(
      fc.property(fc.array(change), (changes) => {
        const states = createEngineStates();
        changes.forEach(({ engine, kind, adapters, startedAt, key }, sequence) => {
          const models = [{ name: 'm', version: 1 }];
          if (kind === 'state') {
            const flags = { canLoad: true, isReachable: true, queued: 0 };
            states.applyState({
              engine,
              startedAt,
              fence: 1,
              sequence,
              ...flags,
              models,
              adapters,
            });
          } else if (kind === 'registration') {
            states.applyRegistration({
              id: engine,
              startedAt,
              service: 's',
              address: '10.0.0.1:80',
              dataCentre: 'x',
              state: 'ready',
              slots: 1,
              softwareVersion: undefined,
              models: [{ name: 'm', version: 1, adapters: [{ name: 'a', version: 1 }] }],
            });
          } else if (kind === 'removeAdapter') {
            states.removeAdapter(engine, key);
          } else {
            states.remove(engine);
          }
          KEYS.forEach((wanted) =>
            [0, 1, 2].forEach((version) =>
              expect(states.getHolders(wanted, version)).to.have.members(
                ENGINES.filter((id) => states.isResident(id, wanted, version)),
              ),
            ),
          );
        });
      }),
    );
  });
});

describe('the owner of an engine', () => {
  // Guards against decoding the records of all engines in use several times a second.
  it('is decoded once from each record', () => {
    let readCount = 0;
    const createEntry = (holder: string, revision: number): Change => ({
      key: '/baobablink/engines/e1',
      revision,
      get value() {
        readCount += 1;
        return JSON.stringify({ holder });
      },
    });
    let entry: Change | undefined = createEntry('vm1', 1);
    const tryGetOwner = createOwnerLookup((key) => (key === entry?.key ? entry : undefined));
    Array.from({ length: 100 }, () => expect(tryGetOwner('e1')).to.equal('vm1'));
    expect(tryGetOwner('e2')).to.equal(undefined);
    entry = createEntry('', 2);
    expect(tryGetOwner('e1')).to.equal(undefined);
    entry = createEntry('vm2', 3);
    expect(tryGetOwner('e1')).to.equal('vm2');
    entry = undefined;
    expect(tryGetOwner('e1')).to.equal(undefined);
    expect(readCount).to.be.at.most(106);
  });
});
