import isServableWithoutLoad from '../../src/pool/isServableWithoutLoad';
import createValuePolicy from '../../src/pool/createValuePolicy';
import isEvictable from '../../src/pool/isEvictable';
import type PoolPolicy from '../../src/pool/PoolPolicy';
import type PoolView from '../../src/pool/PoolView';
import type Arrival from '../Arrival';

const HORIZON_MS = 30_000;

/**
 * Creates the policy used as a bound, which has access to future arrivals. It loads adapters with
 * waiting requests first, those with the most requests before others. The remaining load budget goes
 * to the adapters that are requested soonest; each replaces the one whose next request is furthest
 * in the future (Belady's algorithm).
 */
export default function createClairvoyantPolicy(arrivals: readonly Arrival[]): PoolPolicy {
  const { chooseEngine } = createValuePolicy();
  const arrivalTimes = new Map<string, number[]>();
  arrivals.forEach(({ model, arrivedAt }) => {
    const useTimes = arrivalTimes.get(model) ?? [];
    useTimes.push(arrivedAt);
    arrivalTimes.set(model, useTimes);
  });
  const positions = new Map<string, number>();
  let nextArrival = 0;

  function getNextUse(now: number, model: string): number {
    const useTimes = arrivalTimes.get(model) ?? [];
    let position = positions.get(model) ?? 0;
    while (position < useTimes.length && useTimes[position] <= now) {
      position += 1;
    }
    positions.set(model, position);
    return useTimes[position] ?? Infinity;
  }

  function tryChooseSlot(now: number, view: PoolView, model: string, minNextUse: number) {
    let best: { engine: string; victim: string | undefined } | undefined;
    let latestNextUse = minNextUse;
    view.engines.forEach((engine) => {
      const isUnavailable = !engine.usable || engine.running >= engine.batchSize;
      if (isUnavailable || engine.resident.has(model) || view.isBackingOff(now, model, engine.id)) {
        return;
      }
      if (engine.resident.size < engine.slots) {
        best = { engine: engine.id, victim: undefined };
        latestNextUse = Infinity;
        return;
      }
      engine.resident.forEach((slot) => {
        const nextUse =
          view.getEngineIds(slot.model).size > 1 ? Infinity : getNextUse(now, slot.model);
        if (isEvictable(now, slot) && !view.waiting.has(slot.model) && nextUse > latestNextUse) {
          best = { engine: engine.id, victim: slot.model };
          latestNextUse = nextUse;
        }
      });
    });
    return best;
  }

  function tryChooseLoad(now: number, view: PoolView) {
    const waitingModels = [...view.waiting]
      .filter(([model]) => !isServableWithoutLoad(view, model))
      .sort(([, left], [, right]) => right.length - left.length);

    for (const [model] of waitingModels) {
      const target = tryChooseSlot(now, view, model, now);
      if (target) {
        return { model, ...target };
      }
    }
    while (nextArrival < arrivals.length && arrivals[nextArrival].arrivedAt <= now) {
      nextArrival += 1;
    }
    for (let index = nextArrival; index < arrivals.length; index += 1) {
      const { model, arrivedAt } = arrivals[index];
      if (arrivedAt > now + HORIZON_MS) {
        return undefined;
      }
      if (view.getEngineIds(model).size === 0) {
        const target = tryChooseSlot(now, view, model, arrivedAt);
        return target && { model, ...target };
      }
    }
    return undefined;
  }

  return { chooseEngine, tryChooseLoad };
}
