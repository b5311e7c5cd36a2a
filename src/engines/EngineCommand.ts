/** An order to an engine about what it holds. */
interface EngineCommand {
  kind: 'load' | 'unload';
  model: string;
  adapter: string | undefined;
  version: number | undefined;
}

export default EngineCommand;
