import type Upstream from '../upstream/Upstream';

/**
 * Chooses upstreams to probe, at random and first one of each service, so that the end of a whole
 * service is not taken for the loss of all links. `random` returns numbers from 0 to 1.
 */
export default function chooseProbeTargets(
  upstreams: readonly Upstream[],
  count: number,
  random: () => number,
): Upstream[] {
  const shuffled = upstreams
    .map((upstream) => ({ upstream, rank: random() }))
    .sort((left, right) => left.rank - right.rank)
    .map(({ upstream }) => upstream);
  const firsts = shuffled.filter(
    (upstream, index) =>
      shuffled.findIndex(({ service }) => service === upstream.service) === index,
  );
  const others = shuffled.filter((upstream) => !firsts.includes(upstream));
  return [...firsts, ...others].slice(0, count);
}
