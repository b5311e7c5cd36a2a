import { buildConnector } from 'undici';
import type { Socket } from 'node:net';

interface Options {
  connectTimeoutMs: number;
  /** Bytes of one response, its heads and framing included. */
  maxResponseBytes: number;
  /**
   * Whether a connection that ends with an error, as by a timeout, is reset, so that the operating
   * system sends nothing again of what was written to it (default: no).
   */
  isResetOnError?: boolean;
}

/**
 * Creates a connector for clients that read responses as a whole, one request at a time. A connection
 * on which more than the allowed bytes arrive after a request ends with an error, so that a response
 * without end does not fill the memory.
 */
export default function createBoundedConnector({
  connectTimeoutMs,
  maxResponseBytes,
  isResetOnError = false,
}: Options): buildConnector.connector {
  const connect = buildConnector({ timeout: connectTimeoutMs });
  return (options, callback) =>
    connect(options, (...result) => {
      const [, socket] = result;
      if (socket) {
        limitResponses(socket, maxResponseBytes);
        if (isResetOnError) {
          resetOnError(socket);
        }
      }
      callback(...result);
    });
}

function limitResponses(socket: Socket, maxBytes: number): void {
  let bytesOfRequests = 0;
  let endsBefore = maxBytes;
  socket.on('readable', () => {
    if (socket.bytesWritten !== bytesOfRequests) {
      bytesOfRequests = socket.bytesWritten;
      endsBefore = socket.bytesRead + maxBytes;
    }
    if (socket.bytesRead > endsBefore) {
      socket.destroy(new Error('a response is too large'));
    }
  });
}

function resetOnError(socket: Socket): void {
  const { destroy } = socket;
  Object.assign(socket, {
    destroy: (error?: Error) => {
      Object.assign(socket, { destroy });
      return error ? socket.resetAndDestroy() : socket.destroy();
    },
  });
}
