/** Raw measurements of one benchmark run, from which `getSummary` computes its figures. */
interface Measurements {
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

export default Measurements;
