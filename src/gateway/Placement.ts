import type Upstream from '../upstream/Upstream';
import type AttemptOutcome from './AttemptOutcome';

/** Upstream chosen for a request, and the adapter version that must serve it there. */
interface Placement {
  upstream: Upstream;
  version: number | undefined;
  /** In-flight requests of the upstream when it was chosen. */
  inFlight: number;
  /** Ends the use of a slot that was issued for the request; see `src/slots`. */
  endSlot?: (outcome: AttemptOutcome) => void;
}

export default Placement;
