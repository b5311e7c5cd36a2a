/** A request that was under way at an upstream whose process ended. */
interface LostRequest {
  /** See `getTraits`. */
  traits: string[];
  /** Time since its connection ended. */
  ageMs: number;
  /** Time from its sending to the end of its connection. */
  ranMs: number;
}

export default LostRequest;
