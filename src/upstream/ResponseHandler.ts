import type ExchangeError from './ExchangeError';

/** Called in this order: `onHead` once, `onData` any number of times, then `onEnd`; or `onError`. */
interface ResponseHandler {
  onHead(status: number, headers: Record<string, string | string[] | undefined>): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onError(error: ExchangeError): void;
}

export default ResponseHandler;
