/** An adapter that requests wait for. */
interface Want {
  key: string;
  model: string;
  adapter: string;
  version: number;
  /** 0 is the most urgent. */
  urgency: number;
  since: number;
  expiresAt: number;
  /** VMs to be told if it can't be had. */
  askers: Set<string>;
}

export default Want;
