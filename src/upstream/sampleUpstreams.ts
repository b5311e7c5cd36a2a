import type Upstream from './Upstream';

/** Upstreams of the own data centre that are compared; more of them attract all VMs to the same ones. */
const NEAR_COUNT = 2;
const FAR_COUNT = 1;
/** With 25 data centres, as many draws find an upstream of the own one in 3 of 4 cases. */
const MAX_DRAWS = 32;

/**
 * Returns a few upstreams drawn at random: two of the own data centre and one of another, or three of
 * others if the own one has too few. With counts that are some hundred milliseconds old, many VMs that
 * each chose the best of all upstreams would choose the same; the draw also bounds the cost of a
 * choice with a thousand upstreams. Returns fewer, or none, if few of them are usable.
 */
export default function sampleUpstreams(
  upstreams: readonly Upstream[],
  dataCentre: string,
  random: () => number,
  isUsable: (upstream: Upstream) => boolean,
): Upstream[] {
  const near = new Set<Upstream>();
  const far = new Set<Upstream>();
  for (
    let draws = 0;
    draws < MAX_DRAWS && (near.size < NEAR_COUNT || far.size < FAR_COUNT);
    draws += 1
  ) {
    const upstream =
      upstreams[Math.min(upstreams.length - 1, Math.floor(random() * upstreams.length))];
    const drawn = upstream.dataCentre === dataCentre ? near : far;
    const isNeeded = drawn.size < (drawn === near ? NEAR_COUNT : NEAR_COUNT + FAR_COUNT);
    if (isNeeded && !drawn.has(upstream) && isUsable(upstream)) {
      drawn.add(upstream);
    }
  }
  return [...near, ...[...far].slice(0, NEAR_COUNT + FAR_COUNT - near.size)];
}
