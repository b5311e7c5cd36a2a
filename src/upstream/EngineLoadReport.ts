/** An engine's report of its load, which is `ageMs` old. */
interface EngineLoadReport {
  ageMs: number;
  leaving: boolean;
  /** Identifies one run of the engine; changes when the engine restarts without adapters. */
  boot: string;
  running: Record<string, number>;
}

export default EngineLoadReport;
