import isServableWithoutLoad from '../../src/pool/isServableWithoutLoad';
import createValuePolicy from '../../src/pool/createValuePolicy';
import isEvictable from '../../src/pool/isEvictable';
import type PoolPolicy from '../../src/pool/PoolPolicy';
import type PoolView from '../../src/pool/PoolView';
import type Arrival from '../Arrival';

const HORIZON_MS = 30_000;

/**
 * Bound: sees the coming arrivals. It loads what waits, the most requests first, and with the rest
 * of the budget what will be wanted soonest, in place of what is wanted last (Belady's rule).
 */
export default function createClairvoyantPolicy(arrivals: readonly Arrival[]): PoolPolicy {
  const { chooseEngine } = createValuePolicy();
  const times = new Map<string, number[]>();
  arrivals.forEach(({ model, arrivedAt }) => {
    const known = times.get(model) ?? [];
    known.push(arrivedAt);
    times.set(model, known);
  });
  const positions = new Map<string, number>();
  let firstComing = 0;

  function getNextUse(now: number, model: string): number {
    const known = times.get(model) ?? [];
    let position = positions.get(model) ?? 0;
    while (position < known.length && known[position] <= now) {
      position += 1;
    }
    positions.set(model, position);
    return known[position] ?? Infinity;
  }

  function tryChoosePlace(now: number, view: PoolView, model: string, usedBefore: number) {
    let best: { engine: string; victim: string | undefined } | undefined;
    let latest = usedBefore;
    view.engines.forEach((engine) => {
      const isOut = !engine.usable || engine.running >= engine.batchSize;
      if (isOut || engine.resident.has(model) || view.isBackingOff(now, model, engine.id)) {
        return;
      }
      if (engine.resident.size < engine.slots) {
        best = { engine: engine.id, victim: undefined };
        latest = Infinity;
        return;
      }
      engine.resident.forEach((slot) => {
        const nextUse =
          view.getEngineIds(slot.model).size > 1 ? Infinity : getNextUse(now, slot.model);
        if (isEvictable(now, slot) && !view.waiting.has(slot.model) && nextUse > latest) {
          best = { engine: engine.id, victim: slot.model };
          latest = nextUse;
        }
      });
    });
    return best;
  }

  function tryChooseLoad(now: number, view: PoolView) {
    const wanted = [...view.waiting]
      .filter(([model]) => !isServableWithoutLoad(view, model))
      .sort(([, left], [, right]) => right.length - left.length);

    for (const [model] of wanted) {
      const place = tryChoosePlace(now, view, model, now);
      if (place) {
        return { model, ...place };
      }
    }
    while (firstComing < arrivals.length && arrivals[firstComing].arrivedAt <= now) {
      firstComing += 1;
    }
    for (let index = firstComing; index < arrivals.length; index += 1) {
      const { model, arrivedAt } = arrivals[index];
      if (arrivedAt > now + HORIZON_MS) {
        return undefined;
      }
      if (view.getEngineIds(model).size === 0) {
        const place = tryChoosePlace(now, view, model, arrivedAt);
        return place && { model, ...place };
      }
    }
    return undefined;
  }

  return { chooseEngine, tryChooseLoad };
}
