import type Route from './Route';

/** Picks a service of a route by weight. `randomValue` is from 0 to 1 (exclusive). */
export default function pickTarget(route: Route, randomValue: number): string {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let remaining = randomValue * total;
  const picked = route.targets.find((target) => {
    remaining -= target.weight;
    return remaining < 0;
  });
  return (picked ?? route.targets[0]).service;
}
