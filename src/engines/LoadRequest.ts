/** An adapter that requests wait for. */
interface LoadRequest {
  key: string;
  model: string;
  adapter: string;
  version: number;
  /** 0 is the most urgent. */
  urgency: number;
  since: number;
  expiresAt: number;
  /** VMs to be told if it can't be had. */
  requesters: Set<string>;
}

export default LoadRequest;
