import type Route from './Route';

/** Picks a service of a route by weight; `chance` is a number from 0 to 1. */
export default function pickTarget(route: Route, chance: number): string {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let left = chance * total;
  const picked = route.targets.find((target) => {
    left -= target.weight;
    return left < 0;
  });
  return (picked ?? route.targets[0]).service;
}
