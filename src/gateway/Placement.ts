import type Upstream from '../upstream/Upstream';

/** Upstream chosen for a request, and the adapter version that must serve it there. */
interface Placement {
  upstream: Upstream;
  version: number | undefined;
  /** In-flight requests of the upstream when it was chosen. */
  inFlight: number;
}

export default Placement;
