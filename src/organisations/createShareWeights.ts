import type Manifest from '../manifest/Manifest';

/** Bounds how far the shares of two organisations can be apart from the mean. */
const MAX_WEIGHT = 16;

/**
 * Creates the function that returns the weight of an organisation in fair queues, 1 on average. An
 * allowance in tokens is in proportion to the usual use, so that an organisation is limited by what is
 * usual for it and not by its size; an organisation without one has the mean weight.
 */
export default function createShareWeights() {
  let indexed: Manifest['organisations'];
  let weights: ReadonlyMap<string, number> = new Map();

  return (organisations: Manifest['organisations'], name: string): number => {
    if (organisations !== indexed) {
      indexed = organisations;
      weights = getWeights(organisations);
    }
    return weights.get(name) ?? 1;
  };
}

function getWeights(organisations: Manifest['organisations']): ReadonlyMap<string, number> {
  const rates = new Map(
    [...(organisations?.values() ?? [])].flatMap(({ name, allowance }) =>
      allowance?.unit === 'tokens' ? [[name, allowance.perSecond] as const] : [],
    ),
  );
  const mean = [...rates.values()].reduce((sum, rate) => sum + rate, 0) / rates.size;
  return new Map(
    [...rates].map(([name, rate]) => [
      name,
      Math.min(MAX_WEIGHT, Math.max(1 / MAX_WEIGHT, rate / mean)),
    ]),
  );
}
