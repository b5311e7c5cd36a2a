/** What a run of the bench saw, before it is summed up. */
interface Outcomes {
  requests: number;
  answers: { stallMs: number; firstTokenMs: number; isLate: boolean }[];
  refusedAfterMs: number[];
  grants: Map<string, { at: number; stepMs: number }>;
  loads: number;
  loadsWasted: number;
  evictionsInService: number;
  wrongAdapter: number;
  doubled: number;
  mostLoadsInOneSecond: number;
  decisionMicros: number[];
}

export default Outcomes;
