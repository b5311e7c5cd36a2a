import type Result from '../shared/Result';
import type CompletionChunk from './CompletionChunk';
import type CompletionRequest from './CompletionRequest';
import type EngineError from './EngineError';
import type EngineLoadReport from './EngineLoadReport';

/** Client of the HTTP interface of model engines. Addresses have the form `ip:port`. */
interface EngineClient {
  /** Returns the names of the adapters that the engine holds now, by its own list. */
  getAdapterNames(address: string): Promise<Result<string[], EngineError>>;
  getReport(address: string): Promise<Result<EngineLoadReport, EngineError>>;
  load(
    address: string,
    command: { name: string; model: string; fence: number },
  ): Promise<Result<void, EngineError>>;
  unload(
    address: string,
    command: { name: string; fence: number },
  ): Promise<Result<void, EngineError>>;
  /** Streams a completion. `cancel` on the returned object aborts it, also at the engine. */
  stream(
    address: string,
    completion: CompletionRequest,
    onChunk: (chunk: CompletionChunk) => void,
    onEnd: (error: EngineError | undefined) => void,
  ): { cancel(): void; setPaused(paused: boolean): void };
}

export default EngineClient;
