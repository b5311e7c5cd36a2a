/** A request to load an adapter on an engine, merged from all VMs that need it. */
interface LoadRequest {
  key: string;
  model: string;
  adapter: string;
  version: number;
  /** 0 is the most urgent. */
  urgency: number;
  /** When the first VM requested it. */
  since: number;
  /** Number of requests that were before this one then. */
  position: number;
  expiresAt: number;
  /** VMs that are informed when the adapter is resident or can't be loaded. */
  requesters: Set<string>;
}

export default LoadRequest;
