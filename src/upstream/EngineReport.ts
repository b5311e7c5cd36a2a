/** An engine's report of its load; it lags by `ageMs`. */
interface EngineReport {
  ageMs: number;
  leaving: boolean;
  /** Identifies one run of the engine: it changes when the engine restarts empty. */
  boot: string;
  running: Record<string, number>;
}

export default EngineReport;
