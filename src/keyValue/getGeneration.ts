import REVISIONS_PER_GENERATION from './REVISIONS_PER_GENERATION';

/** Returns the generation of the key-value service in which it gave out a revision. */
export default function getGeneration(revision: number): number {
  return Math.floor(revision / REVISIONS_PER_GENERATION);
}
