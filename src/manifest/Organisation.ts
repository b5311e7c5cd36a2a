import type Allowance from './Allowance';

/** A group of callers that share API keys, a priority and an allowance. */
interface Organisation {
  name: string;
  /** Replaces the urgency of routes; undefined if that of the route applies. */
  urgency: number | undefined;
  /** Undefined if the organisation has no limit. */
  allowance: Allowance | undefined;
}

export default Organisation;
