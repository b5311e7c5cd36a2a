import { buildConnector, Client } from 'undici';
import type { Dispatcher } from 'undici';
import type { Socket } from 'node:net';
import type ResponseHandler from './ResponseHandler';

/** A first packet that is lost is sent again after a second; another upstream is sooner. */
const CONNECT_TIMEOUT_MS = 400;
/** For upstreams that do not say how long they keep an idle connection. */
const IDLE_TIMEOUT_MS = 4000;
const MAX_HEADER_BYTES = 64 * 1024;

interface Message {
  method: string;
  path: string;
  headers: string[];
  body: Buffer | undefined;
}

interface Controls {
  abort(): void;
  pause(): void;
  resume(): void;
}

interface Connection {
  client: Client;
  socket: Socket | undefined;
  /** Whether the other end has reset it: an answer that only the end of it frames is not whole. */
  isReset: boolean;
}

interface Group {
  idle: Connection[];
  open: number;
}

/**
 * Connections to upstreams, one request at a time on each, the last used one first. `send`
 * answers undefined where the upstream has as many connections as it may have.
 */
export default function createConnections(onOpened: () => void) {
  const groups = new Map<string, Group>();

  function send(
    address: string,
    message: Message,
    maxConnections: number,
    exchange: ResponseHandler,
  ): Controls | undefined {
    const group = groups.get(address) ?? { idle: [], open: 0 };
    groups.set(address, group);
    const connection = group.idle.pop() ?? open(address, group, maxConnections);
    return connection && dispatch(connection, group, message, exchange);
  }

  function open(address: string, group: Group, maxConnections: number): Connection | undefined {
    if (group.open >= maxConnections) {
      return undefined;
    }
    group.open += 1;
    onOpened();
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    const client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: (options, callback) =>
        connect(options, (...result) => {
          connection.socket = result[1] ?? undefined;
          connection.socket?.on('error', () => {
            connection.isReset = true;
          });
          callback(...result);
        }),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_HEADER_BYTES,
      strictContentLength: false,
    });
    const connection: Connection = { client, socket: undefined, isReset: false };
    client.on('disconnect', () => drop(connection, group));
    return connection;
  }

  /** Forgets a connection that has ended. */
  function drop(connection: Connection, group: Group): void {
    const { client } = connection;
    if (client.destroyed) {
      return;
    }
    const idle = group.idle.indexOf(connection);
    if (idle >= 0) {
      group.idle.splice(idle, 1);
    }
    group.open -= 1;
    client.destroy();
  }

  function dispatch(
    connection: Connection,
    group: Group,
    message: Message,
    exchange: ResponseHandler,
  ): Controls {
    const { client } = connection;
    let controller: Dispatcher.DispatchController | undefined;
    let isOver = false;
    let isFramed = false;
    const end = (call: () => void) => {
      if (!isOver) {
        isOver = true;
        call();
      }
    };
    client.dispatch(
      {
        method: message.method,
        path: message.path,
        headers: message.headers,
        body: message.body,
      },
      {
        onRequestStart: (started) => {
          controller = started;
          if (isOver) {
            started.abort(new Error('given up'));
          }
        },
        onResponseStart: (_, status, headers) => {
          isFramed =
            headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
          if (!isOver && status >= 200) {
            exchange.onHead(status, headers);
          }
        },
        onResponseData: (_, chunk) => {
          if (!isOver) {
            exchange.onData(chunk);
          }
        },
        onResponseEnd: () => {
          if (connection.isReset || (!isFramed && !hasPeer(connection))) {
            end(() => exchange.onError({ kind: 'lost', reason: 'reset' }));
            return;
          }
          if (!client.destroyed) {
            group.idle.push(connection);
          }
          end(exchange.onEnd);
        },
        onResponseError: (_, error) => {
          drop(connection, group);
          const reason = (error as { code?: string }).code ?? error.message;
          end(() => exchange.onError({ kind: controller ? 'lost' : 'notSent', reason }));
        },
      },
    );
    return {
      abort: () =>
        end(() => {
          if (controller) {
            controller.abort(new Error('given up'));
          } else {
            drop(connection, group);
          }
        }),
      pause: () => controller?.pause(),
      resume: () => controller?.resume(),
    };
  }

  return {
    send,
    getOpenCount: () => [...groups.values()].reduce((sum, group) => sum + group.open, 0),
    close: () => groups.forEach((group) => group.idle.forEach(({ client }) => client.destroy())),
  };
}

/**
 * Whether a connection that has ended still has its other end. Where a reset comes right behind the
 * last bytes, Node.js reports a plain end; the connection then has no peer any more. The address is
 * read here only, since Node.js remembers the first one that it read.
 */
function hasPeer(connection: Connection): boolean {
  return connection.socket?.remoteAddress !== undefined;
}
