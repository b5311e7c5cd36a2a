/** A command to an engine to load or unload an adapter, or a model if `adapter` is undefined. */
interface EngineCommand {
  kind: 'load' | 'unload';
  model: string;
  adapter: string | undefined;
  version: number | undefined;
}

export default EngineCommand;
