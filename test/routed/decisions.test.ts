import { expect } from 'chai';
import fc from 'fast-check';
import chooseLoadTarget from '../../src/engines/chooseLoadTarget';
import chooseEngineAction from '../../src/engines/chooseEngineAction';
import getMaxConcurrentLoads from '../../src/engines/getMaxConcurrentLoads';
import createSlotWaitEstimate from '../../src/engines/createSlotWaitEstimate';
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

describe('placement, load and retry decisions', () => {
  describe('chooseLoadTarget', () => {
    it('returns the same engine in any order of targets while it has spare capacity', () => {
      const targets = [createLoadTarget('a'), createLoadTarget('b'), createLoadTarget('c')];
      const preferredId = chooseLoadTarget('m/a1', targets)!.id;
      expect(chooseLoadTarget('m/a1', [...targets].reverse())!.id).to.equal(preferredId);
    });

    it('returns the engine with the shortest queue if every adapter slot is in use', () => {
      const full = { freeAdapterSlots: 0, idleAdapterSlots: 0 };
      const targets = [
        createLoadTarget('a', { ...full, pending: 2 }),
        createLoadTarget('b', { ...full, pending: 1 }),
        createLoadTarget('c', { ...full, pending: 3 }),
      ];
      expect(chooseLoadTarget('m/a1', targets)!.id).to.equal('b');
    });

    it('returns undefined if many loads wait for the adapter slots of every engine', () => {
      const full = { freeAdapterSlots: 0, idleAdapterSlots: 0, pending: 4 };
      expect(
        chooseLoadTarget('m/a1', [createLoadTarget('a', full), createLoadTarget('b', full)]),
      ).to.equal(undefined);
    });

    it('returns another engine if the preferred one has no free or idle adapter slot', () => {
      const ids = ['a', 'b', 'c', 'd'];
      const preferredId = chooseLoadTarget(
        'm/a1',
        ids.map((id) => createLoadTarget(id)),
      )!.id;
      const targets = ids.map((id) =>
        createLoadTarget(
          id,
          id === preferredId ? { freeAdapterSlots: 0, idleAdapterSlots: 0 } : {},
        ),
      );
      expect(chooseLoadTarget('m/a1', targets)!.id).not.to.equal(preferredId);
    });

    it('returns another engine if the preferred one has many more requests in progress', () => {
      const ids = ['a', 'b', 'c', 'd'];
      const preferredId = chooseLoadTarget(
        'm/a1',
        ids.map((id) => createLoadTarget(id)),
      )!.id;
      const targets = ids.map((id) =>
        createLoadTarget(id, { inFlight: id === preferredId ? 40 : 10 }),
      );
      expect(chooseLoadTarget('m/a1', targets)!.id).not.to.equal(preferredId);
    });
  });

  describe('chooseEngineAction', () => {
    it('never unloads an adapter in use, nor loads one without a free adapter slot', () => {
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
          (heldAdapters, spare) => {
            const slots = heldAdapters.map(({ state }, index) => createSlot(`m/a${index}`, state));
            const slotCount = slots.length + (spare > 6 ? 1 : 0);
            const action = chooseEngineAction(10_000, {
              slots,
              loadRequests: [createLoadRequest('m/new')],
              adapterSlots: slotCount,
              maxFilledSlots: slotCount,
              getUse: (key) => {
                const heldAdapter = heldAdapters[Number(key.slice(3))];
                return {
                  inFlight: heldAdapter?.inFlight ?? 0,
                  lastUsedAt: 10_000 - (heldAdapter?.idleMs ?? 0),
                };
              },
              getVersion: () => 0,
              maxConcurrentLoads: 4,
              slotIntervalMs: 200,
            });
            if (action.kind === 'unload') {
              const heldAdapter = heldAdapters[Number(action.slot.key.slice(3))];
              expect(heldAdapter.state).to.equal('resident');
              expect(heldAdapter.inFlight).to.equal(0);
            }
            if (action.kind === 'load') {
              expect(slots.length).to.be.lessThan(slotCount);
            }
          },
        ),
      );
    });

    it('lets loads wait for a slot, but only those that are expected to get one in time', () => {
      const createView = (expiresAt: number, waiting: number, idleSlots = 0) => ({
        slots: Array.from({ length: 6 }, (_, index) => createSlot(`m/a${index}`, 'resident')),
        loadRequests: Array.from({ length: waiting }, (_, index) =>
          createLoadRequest(`m/new${index}`, { expiresAt, since: index }),
        ),
        adapterSlots: 6,
        maxFilledSlots: 6,
        getUse: (key: string) =>
          Number(key.slice(3)) < idleSlots
            ? { inFlight: 0, lastUsedAt: 9_990 }
            : { inFlight: 1, lastUsedAt: 10_000 },
        getVersion: () => 0,
        maxConcurrentLoads: 4,
        slotIntervalMs: 200,
      });
      expect(chooseEngineAction(10_000, createView(10_300, 1)).kind).to.equal('wait');
      const second = chooseEngineAction(10_000, createView(10_300, 2));
      expect(second.kind === 'drop' && second.request.key).to.equal('m/new1');
      expect(chooseEngineAction(10_000, createView(10_150, 1)).kind).to.equal('drop');
      expect(chooseEngineAction(10_000, createView(10_150, 1, 1)).kind).to.equal('wait');
    });

    it('replaces an old version only if no request uses the adapter', () => {
      const createView = (inFlight: number) => ({
        slots: [createSlot('m/a1', 'resident')],
        loadRequests: [createLoadRequest('m/a1', { version: 2 })],
        adapterSlots: 4,
        maxFilledSlots: 4,
        getUse: () => ({ inFlight, lastUsedAt: 0 }),
        getVersion: () => 2,
        maxConcurrentLoads: 4,
        slotIntervalMs: 200,
      });
      expect(chooseEngineAction(10_000, createView(0)).kind).to.equal('load');
      expect(chooseEngineAction(10_000, createView(1)).kind).to.equal('drop');
    });

    it('limits loads to what the adapter store serves, but allows one on each engine', () => {
      expect(getMaxConcurrentLoads(6, 0)).to.equal(4);
      expect(getMaxConcurrentLoads(6, 6)).to.equal(2);
      expect(getMaxConcurrentLoads(6, 20)).to.equal(1);
      expect(getMaxConcurrentLoads(63, 20)).to.equal(4);
    });

    it('waits while the maximum number of concurrent loads is in progress', () => {
      const slots = ['a', 'b', 'c', 'd'].map((name) => createSlot(`m/${name}`, 'loading', 20_000));
      const action = chooseEngineAction(10_000, {
        slots,
        loadRequests: [createLoadRequest('m/new')],
        adapterSlots: 30,
        maxFilledSlots: 30,
        getUse: () => ({ inFlight: 0, lastUsedAt: 0 }),
        getVersion: () => 0,
        maxConcurrentLoads: 4,
        slotIntervalMs: 200,
      });
      expect(action).to.deep.equal({ kind: 'wait', untilMs: 20_000 });
    });
  });

  describe('createSlotWaitEstimate', () => {
    it('expects shorter waits again some time after long ones, as refused loads show none', () => {
      const estimate = createSlotWaitEstimate();
      expect(estimate.getIntervalMs(0, 6)).to.equal(200);
      for (let at = 0; at < 1000; at += 50) {
        estimate.record(at, 900, 0);
      }
      expect(estimate.getIntervalMs(1000, 6)).to.be.above(800);
      expect(estimate.getIntervalMs(11_000, 6)).to.be.within(200, 210);
    });
  });

  describe('isCopyWanted', () => {
    const createMean = (inFlight: number, waitMs = 0) => ({ inFlight, waitMs });

    it('returns false if prompts wait equally long on all engines', () => {
      const holder = { slots: 64, inFlight: 50, waitMs: 400 };
      expect(isCopyWanted(holder, createMean(50, 380), 9)).to.equal(false);
    });

    it('returns true if an engine of any size has many more requests than the others', () => {
      expect(isCopyWanted({ slots: 16, inFlight: 13, waitMs: 0 }, createMean(8), 5)).to.equal(true);
      expect(isCopyWanted({ slots: 64, inFlight: 30, waitMs: 0 }, createMean(18), 5)).to.equal(
        true,
      );
    });

    it('returns true if prompts wait, even with few requests in progress', () => {
      expect(isCopyWanted({ slots: 16, inFlight: 8, waitMs: 300 }, createMean(8), 3)).to.equal(
        true,
      );
    });

    it('returns false for random differences and for a rarely used adapter', () => {
      expect(isCopyWanted({ slots: 64, inFlight: 22, waitMs: 0 }, createMean(18), 9)).to.equal(
        false,
      );
      expect(isCopyWanted({ slots: 64, inFlight: 60, waitMs: 400 }, createMean(18), 2)).to.equal(
        false,
      );
    });
  });

  describe('chooseUpstream', () => {
    it('prefers a near upstream with few requests and failures that is not suspended', () => {
      const chosen = chooseUpstream(
        [
          createCandidate('far', { dataCentre: 'y' }),
          createCandidate('near', {}),
          createCandidate('busy', { inFlight: 5 }),
          createCandidate('failing', { failureRate: 0.5, inFlight: 1 }),
          createCandidate('suspended', { isSuspended: true }),
        ],
        'x',
      );
      expect(chosen!.id).to.equal('near');
    });

    it('returns a suspended upstream if there is no other', () => {
      expect(chooseUpstream([createCandidate('only', { isSuspended: true })], 'x')!.id).to.equal(
        'only',
      );
    });
  });

  describe('routing', () => {
    const manifest = {
      version: 1,
      services: new Map(),
      organisations: undefined,
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
      routes: [
        createRoute('/'),
        createRoute('/a/'),
        createRoute('/a/b/'),
        { ...createRoute('/a/b/c/'), host: 'other' },
      ],
    };

    it('selects the route of the host with the longest matching path prefix', () => {
      expect(tryGetRoute(manifest, 'h', '/a/b/c/d')!.pathPrefix).to.equal('/a/b/');
      expect(tryGetRoute(manifest, 'h', '/ab')!.pathPrefix).to.equal('/');
      expect(tryGetRoute(manifest, 'nobody', '/a/')).to.equal(undefined);
    });

    it('splits requests by weight and never selects a target of weight 0', () => {
      const split = {
        ...createRoute('/'),
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

  describe('createServiceRetryBudget', () => {
    it('keeps the retries of all VMs together within the shared budget in any window', () => {
      const budgets = Array.from({ length: 8 }, () =>
        createServiceRetryBudget(
          () => 8,
          () => ({ ratio: 0.2, windowMs: 10_000, reserve: 56 }),
        ),
      );
      const requestTimes: number[] = [];
      const retryTimes: number[] = [];
      for (let now = 0; now < 40_000; now += 50) {
        const budget = budgets[(now / 50) % budgets.length];
        budget.recordRequest(now, 's');
        requestTimes.push(now);
        for (let index = 0; index < 5; index += 1) {
          if (budget.tryTake(now, 's')) {
            retryTimes.push(now);
          }
        }
      }
      const countIn = (times: number[], from: number) =>
        times.filter((at) => at >= from && at < from + 10_000).length;
      for (let from = 0; from <= 30_000; from += 100) {
        const requestCount = Math.max(
          countIn(requestTimes, from),
          countIn(requestTimes, from - 5000),
        );
        expect(countIn(retryTimes, from)).to.be.at.most(0.2 * requestCount + 56);
      }
      expect(retryTimes.length).to.be.greaterThan(100);
    });
  });
});

function createLoadTarget(id: string, overrides: Partial<LoadTarget> = {}): LoadTarget {
  return {
    id,
    pending: 0,
    inFlight: 10,
    slots: 64,
    waitMs: 0,
    freeAdapterSlots: 5,
    idleAdapterSlots: 5,
    ...overrides,
  };
}

function createSlot(key: string, state: AdapterSlot['state'], dueAt = 99_999): AdapterSlot {
  return {
    key,
    version: 1,
    state,
    since: 0,
    dueAt,
    sentAtSequence: undefined,
    isHeld: true,
    requesters: [],
  };
}

function createLoadRequest(key: string, overrides: Partial<LoadRequest> = {}): LoadRequest {
  const [model, adapter] = key.split('/');
  return {
    key,
    model,
    adapter,
    version: 1,
    urgency: 0,
    since: 0,
    position: 0,
    expiresAt: 99_999,
    requesters: new Set(),
    ...overrides,
  };
}

function createCandidate(id: string, overrides: Partial<Candidate>): Candidate {
  return {
    id,
    dataCentre: 'x',
    slots: 8,
    inFlight: 0,
    waitMs: 0,
    failureRate: 0,
    relativeLatency: 1,
    isSuspended: false,
    ...overrides,
  };
}

function createRoute(pathPrefix: string): Route {
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
    isPublic: false,
    targets: [{ service: 's', weight: 1 }],
  };
}
