/** What an engine says of itself; some hundred milliseconds old. */
interface EngineReport {
  models: { name: string; version: number; adapters: { name: string; version: number }[] }[];
  coming: { model: string; adapter: string; version: number }[];
  /** Orders accepted since its start. */
  sequence: number;
  /** Whether a model is being loaded or unloaded. */
  isBusy: boolean;
}

export default EngineReport;
