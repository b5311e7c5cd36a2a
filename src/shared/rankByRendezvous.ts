import getHash from './getHash';

/**
 * Returns the candidates in descending order of their rendezvous hashing score for a key. Adding or
 * removing a candidate does not change the order of the others.
 */
export default function rankByRendezvous(key: string, candidates: readonly string[]): string[] {
  return candidates
    .map((candidate) => ({ candidate, score: getHash(`${key}|${candidate}`) }))
    .sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1))
    .map(({ candidate }) => candidate);
}
