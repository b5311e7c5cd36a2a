import type Upstream from '../upstream/Upstream';

/** Where a request goes, and which version of its adapter must answer there. */
interface Placement {
  upstream: Upstream;
  version: number | undefined;
  /** Requests in progress there when it was chosen. */
  inFlight: number;
}

export default Placement;
