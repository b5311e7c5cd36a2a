import { buildConnector, Client } from 'undici';
import type { Dispatcher } from 'undici';
import type { Socket } from 'node:net';
import createPartCollector from './createPartCollector';
import type ResponseHandler from './ResponseHandler';
import rejectInvalidStatus from './rejectInvalidStatus';

/** TCP repeats a lost first packet only after 1 s; trying another upstream is faster. */
const CONNECT_TIMEOUT_MS = 400;
/** Used for upstreams that do not state how long they keep idle connections open. */
const IDLE_TIMEOUT_MS = 4000;
const MAX_HEADER_BYTES = 64 * 1024;
const CLOSE_OPTION = /\bclose\b/i;

/**
 * Bytes of heads, and of framing beyond as many bytes as the content of a body has, after which a
 * response is given up.
 */
const MAX_OVERHEAD_BYTES = 4 * MAX_HEADER_BYTES;
/** A byte of content may come with one byte of framing on average. */
const MAX_BYTES_PER_CONTENT_BYTE = 2;

interface RequestMessage {
  method: string;
  path: string;
  headers: string[];
  body: Buffer | undefined;
  /** Whether the connection is closed after the response, and not reused. */
  isLast?: boolean;
}

interface Controls {
  abort(): void;
  pause(): void;
  resume(): void;
}

interface Connection {
  client: Client;
  socket: Socket | undefined;
  /** Whether it ended by a reset; a response delimited only by its end is then incomplete. */
  isReset: boolean;
  /** Whether a request was sent on it before the present one. */
  isReused: boolean;
  /** Value of `socket.bytesRead` at which a response is given up unless more content comes. */
  overheadEndsBefore: number;
}

interface ConnectionGroup {
  idle: Connection[];
  openCount: number;
}

/**
 * Manages connections to upstreams. Each carries one request at a time, and the most recently used
 * idle one is reused first. `send` returns undefined if all allowed connections are in use, to one
 * upstream or to all together.
 */
export default function createConnections(
  onOpened: () => void,
  limits: { maxConnections: number; onLimited(): void } = {
    maxConnections: Infinity,
    onLimited: () => {},
  },
) {
  const groups = new Map<string, ConnectionGroup>();
  let openCount = 0;

  function send(
    address: string,
    message: RequestMessage,
    maxConnections: number,
    handler: ResponseHandler,
  ): Controls | undefined {
    const group = groups.get(address) ?? { idle: [], openCount: 0 };
    groups.set(address, group);
    try {
      const connection = tryTakeIdle(group) ?? openConnection(address, group, maxConnections);
      return connection && dispatchRequest(connection, group, message, handler);
    } catch (error) {
      // No connection can be opened to an address that is none.
      handler.onError({ kind: 'notSent', reason: (error as Error).message });
      return { abort: () => {}, pause: () => {}, resume: () => {} };
    }
  }

  function openConnection(
    address: string,
    group: ConnectionGroup,
    maxConnections: number,
  ): Connection | undefined {
    if (group.openCount >= maxConnections) {
      return undefined;
    }
    if (openCount >= limits.maxConnections && !tryCloseIdle()) {
      limits.onLimited();
      return undefined;
    }
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    const client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: (options, callback) =>
        connect(options, (...result) => {
          connection.socket = result[1] ?? undefined;
          connection.socket?.on('error', () => {
            connection.isReset = true;
          });
          // Registered before the client's own listener, which ends the response.
          connection.socket?.on('end', () => {
            connection.isReset ||= !hasPeer(connection);
          });
          connection.socket?.on('readable', () => endIfOverheadTooLarge(connection));
          callback(...result);
        }),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_HEADER_BYTES,
      strictContentLength: false,
    });
    const connection: Connection = {
      client,
      socket: undefined,
      isReset: false,
      isReused: false,
      overheadEndsBefore: Infinity,
    };
    group.openCount += 1;
    openCount += 1;
    onOpened();
    client.on('disconnect', () => dropConnection(connection, group));
    return connection;
  }

  /** Closes an idle connection to another upstream; returns false if there is none. */
  function tryCloseIdle(): boolean {
    for (const group of groups.values()) {
      const [connection] = group.idle;
      if (connection) {
        dropConnection(connection, group);
        return true;
      }
    }
    return false;
  }

  /** Destroys a connection and removes it from its group. */
  function dropConnection(connection: Connection, group: ConnectionGroup): void {
    const { client } = connection;
    if (client.destroyed) {
      return;
    }
    const idle = group.idle.indexOf(connection);
    if (idle >= 0) {
      group.idle.splice(idle, 1);
    }
    group.openCount -= 1;
    openCount -= 1;
    client.destroy();
  }

  function dispatchRequest(
    connection: Connection,
    group: ConnectionGroup,
    message: RequestMessage,
    handler: ResponseHandler,
  ): Controls {
    const { client } = connection;
    let controller: Dispatcher.DispatchController | undefined;
    let isEnded = false;
    let isClosing = message.isLast ?? false;
    const parts = createPartCollector(
      (part) => {
        if (!isEnded) {
          handler.onData(part);
        }
      },
      (error) => controller?.abort(error),
    );
    const end = (callback: () => void) => {
      if (!isEnded) {
        isEnded = true;
        callback();
      }
    };
    resetOverheadLimit(connection);
    client.dispatch(
      {
        method: message.method,
        path: message.path,
        headers: message.headers,
        body: message.body,
        reset: message.isLast,
      },
      {
        onRequestStart: (startedController) => {
          controller = startedController;
          if (isEnded) {
            startedController.abort(new Error('request to the upstream was aborted'));
          }
        },
        onResponseStart: (_, status, headers) => {
          rejectInvalidStatus({ statusCode: status });
          isClosing ||= CLOSE_OPTION.test(String(headers.connection));
          if (status >= 200) {
            resetOverheadLimit(connection);
            if (!isEnded) {
              handler.onHead(status, headers, connection.isReused);
            }
          }
        },
        onResponseData: (_, chunk) => {
          connection.overheadEndsBefore += MAX_BYTES_PER_CONTENT_BYTE * chunk.length;
          parts.add(chunk);
        },
        onResponseEnd: () => {
          parts.flush();
          if (connection.isReset) {
            end(() => handler.onError({ kind: 'lost', reason: 'reset' }));
            return;
          }
          if (isClosing) {
            dropConnection(connection, group);
          } else if (!client.destroyed) {
            group.idle.push(connection);
          }
          end(handler.onEnd);
        },
        onResponseError: (_, error) => {
          parts.flush();
          dropConnection(connection, group);
          const reason = (error as { code?: string }).code ?? error.message;
          end(() => handler.onError({ kind: controller ? 'lost' : 'notSent', reason }));
        },
      },
    );
    return {
      abort: () =>
        end(() => {
          if (controller) {
            controller.abort(new Error('request to the upstream was aborted'));
          } else {
            dropConnection(connection, group);
          }
        }),
      pause: () => controller?.pause(),
      resume: () => controller?.resume(),
    };
  }

  return {
    send,
    getOpenCount: () => [...groups.values()].reduce((sum, group) => sum + group.openCount, 0),
    close: () => groups.forEach((group) => group.idle.forEach(({ client }) => client.destroy())),
  };
}

function tryTakeIdle(group: ConnectionGroup): Connection | undefined {
  const connection = group.idle.pop();
  return connection && Object.assign(connection, { isReused: true });
}

function resetOverheadLimit(connection: Connection): void {
  Object.assign(connection, {
    overheadEndsBefore: (connection.socket?.bytesRead ?? 0) + MAX_OVERHEAD_BYTES,
  });
}

/** Ends a connection that delivers much more than the content of bodies. */
function endIfOverheadTooLarge({ socket, overheadEndsBefore }: Connection): void {
  if (socket && socket.bytesRead > overheadEndsBefore) {
    socket.destroy(new Error('a head or the framing of a body has no end'));
  }
}

/**
 * Returns whether a connection still has a peer address at its end. If a reset directly follows the
 * last bytes, Node.js reports a normal end, but the socket has no peer any more. The address must not
 * be read while the connection is open, since Node.js caches the first value.
 */
function hasPeer(connection: Connection): boolean {
  return connection.socket?.remoteAddress !== undefined;
}
