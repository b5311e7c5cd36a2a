import getHash from './getHash';

/** Returns the candidates ordered by highest random weight for a key; stable when others leave. */
export default function rankByRendezvous(key: string, candidates: readonly string[]): string[] {
  return candidates
    .map((candidate) => ({ candidate, score: getHash(`${key}|${candidate}`) }))
    .sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1))
    .map(({ candidate }) => candidate);
}
