/** Time constant of the trust in a statement against the counts of all VMs, which are as old as this. */
const TRUST_TIME_CONSTANT_MS = 300;
/** A statement is not believed beyond this multiple of the counts, either way, and the slots. */
const MAX_DEVIATION = 2;

/**
 * Merges the requests in flight at an upstream that VMs have counted with the number that it states.
 * The newer the statement, the more it counts; a false one shifts the result by a bounded amount.
 */
export default function getMergedInFlight(
  counted: number,
  stated: { inFlight: number; ageMs: number } | undefined,
  slots: number,
): number {
  if (!stated) {
    return counted;
  }
  const believed = Math.min(
    counted * MAX_DEVIATION + slots,
    Math.max(counted / MAX_DEVIATION, stated.inFlight),
  );
  const trust = Math.exp(-stated.ageMs / TRUST_TIME_CONSTANT_MS);
  return Math.round(counted + trust * (believed - counted));
}
