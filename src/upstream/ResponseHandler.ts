import type TransportError from './TransportError';

/**
 * Receives a response: `onHead` once, `onData` any number of times, then `onEnd`. `onError` may
 * replace any of these calls and is the last one.
 */
interface ResponseHandler {
  /** `isReused`: the connection has carried other requests before. */
  onHead(
    status: number,
    headers: Record<string, string | string[] | undefined>,
    isReused?: boolean,
  ): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onError(error: TransportError): void;
}

export default ResponseHandler;
