import { expect } from 'chai';
import fc from 'fast-check';
import chooseLoadTarget from '../../src/engines/chooseLoadTarget';
import chooseEngineAction from '../../src/engines/chooseEngineAction';
import getMaxConcurrentLoads from '../../src/engines/getMaxConcurrentLoads';
import isCopyWanted from '../../src/engines/isCopyWanted';
import type LoadTarget from '../../src/engines/LoadTarget';
import type AdapterSlot from '../../src/engines/AdapterSlot';
import type LoadRequest from '../../src/engines/LoadRequest';
import createServiceRetryBudget from '../../src/gateway/createServiceRetryBudget';
import pickTarget from '../../src/manifest/pickTarget';
import type Route from '../../src/manifest/Route';
import tryGetRoute from '../../src/manifest/tryGetRoute';
import type Candidate from '../../src/upstream/Candidate';
import chooseUpstream from '../../src/upstream/chooseUpstream';

describe('decisions without a network', () => {
  describe('the engine that loads an adapter', () => {
    it('is the same one while it has room', () => {
      const homes = [home('a'), home('b'), home('c')];
      const first = chooseLoadTarget('m/a1', homes)!.id;
      expect(chooseLoadTarget('m/a1', [...homes].reverse())!.id).to.equal(first);
    });

    it('is none where every place is in use', () => {
      const full = { freeAdapterSlots: 0, idleAdapterSlots: 0 };
      expect(chooseLoadTarget('m/a1', [home('a', full), home('b', full)])).to.equal(undefined);
    });

    it('is one with an idle place where the first home has none', () => {
      const ids = ['a', 'b', 'c', 'd'];
      const first = chooseLoadTarget(
        'm/a1',
        ids.map((id) => home(id)),
      )!.id;
      const homes = ids.map((id) =>
        home(id, id === first ? { freeAdapterSlots: 0, idleAdapterSlots: 0 } : {}),
      );
      expect(chooseLoadTarget('m/a1', homes)!.id).not.to.equal(first);
    });

    it('is not one that has much more to do than the others', () => {
      const ids = ['a', 'b', 'c', 'd'];
      const first = chooseLoadTarget(
        'm/a1',
        ids.map((id) => home(id)),
      )!.id;
      const homes = ids.map((id) => home(id, { inFlight: id === first ? 40 : 10 }));
      expect(chooseLoadTarget('m/a1', homes)!.id).not.to.equal(first);
    });
  });

  describe('the next order to an engine', () => {
    it('never takes the place of an adapter in use, nor more places than there are', () => {
      const states = fc.constantFrom<AdapterSlot['state']>(
        'loading',
        'resident',
        'leaving',
        'uncertain',
      );
      fc.assert(
        fc.property(
          fc.array(fc.record({ state: states, inFlight: fc.nat(2), idleMs: fc.nat(2000) }), {
            maxLength: 8,
          }),
          fc.nat(8),
          (held, spare) => {
            const slots = held.map(({ state }, index) => slot(`m/a${index}`, state));
            const places = slots.length + (spare > 6 ? 1 : 0);
            const choice = chooseEngineAction(10_000, {
              slots,
              loadRequests: [want('m/new')],
              adapterSlots: places,
              getUse: (key) => {
                const of = held[Number(key.slice(3))];
                return { inFlight: of?.inFlight ?? 0, lastUsedAt: 10_000 - (of?.idleMs ?? 0) };
              },
              getVersion: () => 0,
              maxConcurrentLoads: 4,
            });
            if (choice.kind === 'unload') {
              const of = held[Number(choice.slot.key.slice(3))];
              expect(of.state).to.equal('resident');
              expect(of.inFlight).to.equal(0);
            }
            if (choice.kind === 'load') {
              expect(slots.length).to.be.lessThan(places);
            }
          },
        ),
      );
    });

    it('replaces an old version only while no request uses it', () => {
      const view = (inFlight: number) => ({
        slots: [slot('m/a1', 'resident')],
        loadRequests: [want('m/a1', { version: 2 })],
        adapterSlots: 4,
        getUse: () => ({ inFlight, lastUsedAt: 0 }),
        getVersion: () => 2,
        maxConcurrentLoads: 4,
      });
      expect(chooseEngineAction(10_000, view(0)).kind).to.equal('load');
      expect(chooseEngineAction(10_000, view(1)).kind).to.equal('drop');
    });

    it('starts loads no faster than the store carries them, but one on each engine', () => {
      expect(getMaxConcurrentLoads(6, 0)).to.equal(4);
      expect(getMaxConcurrentLoads(6, 6)).to.equal(2);
      expect(getMaxConcurrentLoads(6, 20)).to.equal(1);
      expect(getMaxConcurrentLoads(63, 20)).to.equal(4);
    });

    it('has at most as many loads on their way as it may', () => {
      const slots = ['a', 'b', 'c', 'd'].map((name) => slot(`m/${name}`, 'loading', 20_000));
      const choice = chooseEngineAction(10_000, {
        slots,
        loadRequests: [want('m/new')],
        adapterSlots: 30,
        getUse: () => ({ inFlight: 0, lastUsedAt: 0 }),
        getVersion: () => 0,
        maxConcurrentLoads: 4,
      });
      expect(choice).to.deep.equal({ kind: 'wait', untilMs: 20_000 });
    });
  });

  describe('a further engine for a much used adapter', () => {
    const mean = (inFlight: number, waitMs = 0) => ({ inFlight, waitMs });

    it('is not wanted where prompts wait at all engines alike', () => {
      const holder = { slots: 64, inFlight: 50, waitMs: 400 };
      expect(isCopyWanted(holder, mean(50, 380), 9)).to.equal(false);
    });

    it('is wanted where its engine has much more to do than others, small or large', () => {
      expect(isCopyWanted({ slots: 16, inFlight: 13, waitMs: 0 }, mean(8), 5)).to.equal(true);
      expect(isCopyWanted({ slots: 64, inFlight: 30, waitMs: 0 }, mean(18), 5)).to.equal(true);
    });

    it('is wanted where prompts wait, though the requests in progress are few', () => {
      expect(isCopyWanted({ slots: 16, inFlight: 8, waitMs: 300 }, mean(8), 3)).to.equal(true);
    });

    it('is not wanted for chance differences, nor for a seldom used adapter', () => {
      expect(isCopyWanted({ slots: 64, inFlight: 22, waitMs: 0 }, mean(18), 9)).to.equal(false);
      expect(isCopyWanted({ slots: 64, inFlight: 60, waitMs: 400 }, mean(18), 2)).to.equal(false);
    });
  });

  describe('the upstream of a request', () => {
    it('is the one with the least to do, a sound and near one', () => {
      const chosen = chooseUpstream(
        [
          candidate('far', { dataCentre: 'y' }),
          candidate('near', {}),
          candidate('busy', { inFlight: 5 }),
          candidate('failing', { failureRate: 0.5, inFlight: 1 }),
          candidate('suspended', { isSuspended: true }),
        ],
        'x',
      );
      expect(chosen!.id).to.equal('near');
    });

    it('is a suspended one where there is no other', () => {
      expect(chooseUpstream([candidate('only', { isSuspended: true })], 'x')!.id).to.equal('only');
    });
  });

  describe('a route', () => {
    const manifest = {
      version: 1,
      services: new Map(),
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
      routes: [route('/'), route('/a/'), route('/a/b/'), { ...route('/a/b/c/'), host: 'other' }],
    };

    it('is the one of the host with the longest prefix', () => {
      expect(tryGetRoute(manifest, 'h', '/a/b/c/d')!.pathPrefix).to.equal('/a/b/');
      expect(tryGetRoute(manifest, 'h', '/ab')!.pathPrefix).to.equal('/');
      expect(tryGetRoute(manifest, 'nobody', '/a/')).to.equal(undefined);
    });

    it('is split by weight, and never goes to a target of no weight', () => {
      const split = {
        ...route('/'),
        targets: [
          { service: 'none', weight: 0 },
          { service: 'most', weight: 90 },
          { service: 'few', weight: 10 },
        ],
      };
      expect([0, 0.5, 0.89, 0.91, 0.999].map((chance) => pickTarget(split, chance))).to.deep.equal([
        'most',
        'most',
        'most',
        'few',
        'few',
      ]);
    });
  });

  describe('repeats', () => {
    it('stay within the shared budget on all VMs together, in any window', () => {
      const vms = Array.from({ length: 8 }, () =>
        createServiceRetryBudget(
          () => 8,
          () => ({ ratio: 0.2, windowMs: 10_000, reserve: 56 }),
        ),
      );
      const requests: number[] = [];
      const repeats: number[] = [];
      for (let now = 0; now < 40_000; now += 50) {
        const vm = vms[(now / 50) % vms.length];
        vm.recordRequest(now, 's');
        requests.push(now);
        for (let index = 0; index < 5; index += 1) {
          if (vm.tryTake(now, 's')) {
            repeats.push(now);
          }
        }
      }
      const countIn = (times: number[], from: number) =>
        times.filter((at) => at >= from && at < from + 10_000).length;
      for (let from = 0; from <= 30_000; from += 100) {
        const asked = Math.max(countIn(requests, from), countIn(requests, from - 5000));
        expect(countIn(repeats, from)).to.be.at.most(0.2 * asked + 56);
      }
      expect(repeats.length).to.be.greaterThan(100);
    });
  });
});

function home(id: string, change: Partial<LoadTarget> = {}): LoadTarget {
  return {
    id,
    pending: 0,
    inFlight: 10,
    slots: 64,
    waitMs: 0,
    freeAdapterSlots: 5,
    idleAdapterSlots: 5,
    ...change,
  };
}

function slot(key: string, state: AdapterSlot['state'], dueAt = 99_999): AdapterSlot {
  return { key, version: 1, state, since: 0, dueAt, sentAtSequence: undefined, requesters: [] };
}

function want(key: string, change: Partial<LoadRequest> = {}): LoadRequest {
  const [model, adapter] = key.split('/');
  return {
    key,
    model,
    adapter,
    version: 1,
    urgency: 0,
    since: 0,
    expiresAt: 99_999,
    requesters: new Set(),
    ...change,
  };
}

function candidate(id: string, change: Partial<Candidate>): Candidate {
  return {
    id,
    dataCentre: 'x',
    slots: 8,
    inFlight: 0,
    waitMs: 0,
    failureRate: 0,
    relativeLatency: 1,
    isSuspended: false,
    ...change,
  };
}

function route(pathPrefix: string): Route {
  return {
    name: pathPrefix,
    host: 'h',
    pathPrefix,
    kind: 'idempotent',
    timeoutMs: 1000,
    latencyObjectiveMs: 100,
    pauseObjectiveMs: undefined,
    attempts: 1,
    urgency: 0,
    isResumable: false,
    targets: [{ service: 's', weight: 1 }],
  };
}
