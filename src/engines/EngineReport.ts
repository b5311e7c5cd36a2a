/** An engine's report of its own state, some hundred milliseconds old. */
interface EngineReport {
  models: { name: string; version: number; adapters: { name: string; version: number }[] }[];
  /** Adapters that are being loaded. */
  coming: { model: string; adapter: string; version: number }[];
  /** Start time of the engine, if the report states it. */
  startedAt?: number;
  /** Number of commands that the engine has accepted since its start. */
  sequence: number;
  /** Whether a model is being loaded or unloaded. */
  isBusy: boolean;
}

export default EngineReport;
