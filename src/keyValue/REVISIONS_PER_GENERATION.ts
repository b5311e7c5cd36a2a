/**
 * A key-value service that comes back from an older copy gives revisions out again, in a higher
 * generation. The client adds this number for each generation, so that a revision still names one state
 * and the revisions of a later generation are higher. Fits in the integers of a JSON number.
 */
const REVISIONS_PER_GENERATION = 2 ** 32;

export default REVISIONS_PER_GENERATION;
