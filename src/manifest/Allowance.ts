/** Limit on what the callers of an organisation may use, over all VMs together. */
interface Allowance {
  unit: 'requests' | 'tokens';
  perSecond: number;
  /** Added to what the rate gives in any window of time. */
  burst: number;
  /** Tokens of a request that states none; applies to the unit `tokens`. */
  defaultTokens: number;
}

export default Allowance;
