/** A request for a slot, as the issuer keeps it while it waits. */
interface SlotRequest {
  /** VM that wants the slot, and its number for the request. */
  vm: string;
  id: number;
  /** Undefined for callers without an organisation, which share as one. */
  organisation: string | undefined;
  /** 0 is the most urgent. */
  urgency: number;
  /** Time at which a response still meets the latency objective. */
  objectiveAt: number;
  deadlineAt: number;
  dataCentre: string;
  /** Upstreams that must not get the request. */
  excluded: readonly string[];
}

export default SlotRequest;
