import isServableWithoutLoad from './isServableWithoutLoad';
import isEvictable from './isEvictable';
import type PoolRequest from './PoolRequest';
import type PoolEngine from './PoolEngine';
import type PoolPolicy from './PoolPolicy';
import type PoolView from './PoolView';

const DEFERRABLE_VALUE = 0.1;
/** A request that has waited for this time has the additional value of an interactive request. */
const AGE_VALUE_MS = 2000;
/** Applied to the value of an adapter that other engines hold or load too. */
const DUPLICATE_VALUE_FACTOR = 0.2;
/** Cost, in requests per second, of a load on an idle engine compared to the fullest batch. */
const PACKING_RATE = 0.012;
/** Least ratio of the request rate of a prefetched adapter to that of the evicted one. */
const PREFETCH_MIN_GAIN = 1.5;
const PREFETCH_MIN_RATE = 0.002;
const PREFETCH_MIN_AVAILABLE_LOADS = 2;

/**
 * Creates the policy used in production. The value of a slot is the expected request rate of its
 * adapter. The model whose waiting requests have the highest total value is loaded first. Requests
 * are packed onto the fullest batch up to a limit, and spread over the engines above it.
 */
export default function createValuePolicy(): PoolPolicy {
  function chooseEngine(
    _now: number,
    view: PoolView,
    request: PoolRequest,
    engines: PoolEngine[],
  ): PoolEngine {
    const packingLimit = 1 - 0.75 * view.options.stallWeight;
    const isBelowPackingLimit = (engine: PoolEngine) =>
      engine.running < packingLimit * engine.batchSize;
    const lastEngine = request.session && view.tryGetSessionEngine(request.session);
    const cachedEngine = engines.find((engine) => engine.id === lastEngine);
    if (cachedEngine && isBelowPackingLimit(cachedEngine)) {
      return cachedEngine;
    }
    const packable = engines.filter(isBelowPackingLimit);
    if (packable.length > 0) {
      return packable.reduce((best, engine) => (engine.running > best.running ? engine : best));
    }
    return engines.reduce((best, engine) => (engine.running < best.running ? engine : best));
  }

  function tryChooseLoad(now: number, view: PoolView) {
    return tryChooseWaiting(now, view) ?? tryChoosePrefetch(now, view);
  }

  function tryChooseWaiting(now: number, view: PoolView) {
    const ranked = [...view.waiting]
      .filter(([model]) => !isServableWithoutLoad(view, model))
      .map(([model, queue]) => ({ model, value: getQueueValue(now, queue) }))
      .sort((left, right) => right.value - left.value);

    for (const { model } of ranked) {
      const target = tryChooseSlot(now, view, model, Infinity);
      if (target) {
        return { model, ...target };
      }
    }
    return undefined;
  }

  function tryChoosePrefetch(now: number, view: PoolView) {
    if (view.getAvailableLoads(now) < PREFETCH_MIN_AVAILABLE_LOADS || view.waiting.size > 0) {
      return undefined;
    }
    let best: string | undefined;
    let bestRate = PREFETCH_MIN_RATE;
    view.unloadedModels.forEach((model) => {
      const rate = view.getRequestRate(now, model);
      if (rate > bestRate) {
        best = model;
        bestRate = rate;
      }
    });
    if (best === undefined) {
      return undefined;
    }
    const target = tryChooseSlot(now, view, best, bestRate / PREFETCH_MIN_GAIN);
    return target && { model: best, ...target };
  }

  return { chooseEngine, tryChooseLoad };
}

function getQueueValue(now: number, queue: readonly PoolRequest[]): number {
  return queue.reduce((sum, request) => {
    const classValue = request.class === 'interactive' ? 1 : DEFERRABLE_VALUE;
    const ageValue = ((now - request.arrivedAt) / AGE_VALUE_MS) ** 2;
    return sum + request.weight * (classValue + ageValue);
  }, 0);
}

/**
 * Chooses a free slot, or otherwise the evictable slot of least value, on an engine with free batch
 * capacity. Returns undefined if no slot costs less than `maxCost`.
 */
function tryChooseSlot(now: number, view: PoolView, model: string, maxCost: number) {
  let best: { engine: string; victim: string | undefined } | undefined;
  let bestCost = maxCost;
  const maxRunning = Math.max(1, ...[...view.engines.values()].map((engine) => engine.running));
  view.engines.forEach((engine) => {
    const isAvoided = view.waiting.get(model)?.[0]?.avoid === engine.id;
    const isExcluded = isAvoided || !engine.usable || engine.running >= engine.batchSize;
    if (isExcluded || engine.resident.has(model) || view.isBackingOff(now, model, engine.id)) {
      return;
    }
    // Prefers engines with a fuller batch, the more so the lower the weight of stalls.
    const idleShare = 1 - engine.running / maxRunning;
    const packingCost = idleShare * PACKING_RATE * (1 - view.options.stallWeight);
    if (engine.resident.size < engine.slots) {
      const cost = packingCost - 1;
      if (cost < bestCost) {
        best = { engine: engine.id, victim: undefined };
        bestCost = cost;
      }
      return;
    }
    engine.resident.forEach((slot) => {
      if (!isEvictable(now, slot) || view.waiting.has(slot.model)) {
        return;
      }
      const cost = getSlotValue(now, view, slot.model) + packingCost;
      if (cost < bestCost) {
        best = { engine: engine.id, victim: slot.model };
        bestCost = cost;
      }
    });
  });
  return best;
}

function getSlotValue(now: number, view: PoolView, model: string): number {
  const factor = view.getEngineIds(model).size > 1 ? DUPLICATE_VALUE_FACTOR : 1;
  return factor * view.getRequestRate(now, model);
}
