import hasPlaceComing from './hasPlaceComing';
import isEvictable from './isEvictable';
import type PoolRequest from './PoolRequest';
import type PoolEngine from './PoolEngine';
import type PoolPolicy from './PoolPolicy';
import type PoolView from './PoolView';

const DEFERRABLE_WORTH = 0.1;
const AGE_WORTH_MS = 2000;
const REPLICA_WORTH = 0.2;
/** Requests a second that loading beside the fullest batch is worth, against an idle engine. */
const PACKING_RATE = 0.012;
const PREFETCH_GAIN = 1.5;
const PREFETCH_MIN_RATE = 0.002;
const PREFETCH_SPARE_LOADS = 2;

/**
 * The product's policy: an adapter's slot is worth the requests expected on it; the load that most
 * waiting work hangs on goes first; batches are packed up to a knee before work is spread.
 */
export default function createValuePolicy(): PoolPolicy {
  function chooseEngine(
    _now: number,
    view: PoolView,
    ask: PoolRequest,
    engines: PoolEngine[],
  ): PoolEngine {
    const knee = 1 - 0.75 * view.options.stallWeight;
    const isUnderKnee = (engine: PoolEngine) => engine.running < knee * engine.batchSize;
    const last = ask.session && view.tryGetSessionEngine(ask.session);
    const cached = engines.find((engine) => engine.id === last);
    if (cached && isUnderKnee(cached)) {
      return cached;
    }
    const packable = engines.filter(isUnderKnee);
    if (packable.length > 0) {
      return packable.reduce((best, engine) => (engine.running > best.running ? engine : best));
    }
    return engines.reduce((best, engine) => (engine.running < best.running ? engine : best));
  }

  function tryChooseLoad(now: number, view: PoolView) {
    return tryChooseWanted(now, view) ?? tryChoosePrefetch(now, view);
  }

  function tryChooseWanted(now: number, view: PoolView) {
    const ranked = [...view.waiting]
      .filter(([model]) => !hasPlaceComing(view, model))
      .map(([model, queue]) => ({ model, worth: getWaitingWorth(now, queue) }))
      .sort((left, right) => right.worth - left.worth);

    for (const { model } of ranked) {
      const place = tryChoosePlace(now, view, model, Infinity);
      if (place) {
        return { model, ...place };
      }
    }
    return undefined;
  }

  function tryChoosePrefetch(now: number, view: PoolView) {
    if (view.getLoadRoom(now) < PREFETCH_SPARE_LOADS || view.waiting.size > 0) {
      return undefined;
    }
    let best: string | undefined;
    let bestRate = PREFETCH_MIN_RATE;
    view.absent.forEach((model) => {
      const rate = view.getRate(now, model);
      if (rate > bestRate) {
        best = model;
        bestRate = rate;
      }
    });
    if (best === undefined) {
      return undefined;
    }
    const place = tryChoosePlace(now, view, best, bestRate / PREFETCH_GAIN);
    return place && { model: best, ...place };
  }

  return { chooseEngine, tryChooseLoad };
}

function getWaitingWorth(now: number, queue: readonly PoolRequest[]): number {
  return queue.reduce((sum, ask) => {
    const classWorth = ask.class === 'interactive' ? 1 : DEFERRABLE_WORTH;
    const ageWorth = ((now - ask.arrivedAt) / AGE_WORTH_MS) ** 2;
    return sum + ask.weight * (classWorth + ageWorth);
  }, 0);
}

/** Finds a free slot, or the slot worth least and less than `maxWorth`, on an engine with room. */
function tryChoosePlace(now: number, view: PoolView, model: string, maxWorth: number) {
  let best: { engine: string; victim: string | undefined } | undefined;
  let bestCost = maxWorth;
  const most = Math.max(1, ...[...view.engines.values()].map((engine) => engine.running));
  view.engines.forEach((engine) => {
    const isAvoided = view.waiting.get(model)?.[0]?.avoid === engine.id;
    const isOut = isAvoided || !engine.usable || engine.running >= engine.batchSize;
    if (isOut || engine.resident.has(model) || view.isBackingOff(now, model, engine.id)) {
      return;
    }
    // A fuller batch is worth some demand, the more the less stalls weigh.
    const idle = 1 - engine.running / most;
    const packing = idle * PACKING_RATE * (1 - view.options.stallWeight);
    if (engine.resident.size < engine.slots) {
      const cost = packing - 1;
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
      const cost = getSlotWorth(now, view, slot.model) + packing;
      if (cost < bestCost) {
        best = { engine: engine.id, victim: slot.model };
        bestCost = cost;
      }
    });
  });
  return best;
}

function getSlotWorth(now: number, view: PoolView, model: string): number {
  const share = view.getHolders(model).size > 1 ? REPLICA_WORTH : 1;
  return share * view.getRate(now, model);
}
