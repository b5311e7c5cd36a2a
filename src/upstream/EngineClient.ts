import type Result from '../shared/Result';
import type CompletionChunk from './CompletionChunk';
import type CompletionRequest from './CompletionRequest';
import type EngineError from './EngineError';
import type EngineReport from './EngineReport';

/** Model engines, met through their published interface. Addresses are `ip:port`. */
interface EngineClient {
  /** The engine's own list of the adapters that it holds, without lag. */
  getNames(address: string): Promise<Result<string[], EngineError>>;
  getReport(address: string): Promise<Result<EngineReport, EngineError>>;
  load(
    address: string,
    order: { name: string; model: string; fence: number },
  ): Promise<Result<void, EngineError>>;
  unload(
    address: string,
    order: { name: string; fence: number },
  ): Promise<Result<void, EngineError>>;
  /** Streams a completion; the answer stops it and tells the engine to cancel. */
  stream(
    address: string,
    order: CompletionRequest,
    onChunk: (chunk: CompletionChunk) => void,
    onEnd: (error: EngineError | undefined) => void,
  ): { cancel(): void; setPaused(paused: boolean): void };
}

export default EngineClient;
