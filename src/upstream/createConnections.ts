import { Client } from 'undici';
import type { Dispatcher } from 'undici';
import type Exchange from './Exchange';

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

interface Group {
  idle: Client[];
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
    exchange: Exchange,
  ): Controls | undefined {
    const group = groups.get(address) ?? { idle: [], open: 0 };
    groups.set(address, group);
    const client = group.idle.pop() ?? open(address, group, maxConnections);
    return client && dispatch(client, group, message, exchange);
  }

  function open(address: string, group: Group, maxConnections: number): Client | undefined {
    if (group.open >= maxConnections) {
      return undefined;
    }
    group.open += 1;
    onOpened();
    const client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_HEADER_BYTES,
      strictContentLength: false,
    });
    client.on('disconnect', () => drop(client, group));
    return client;
  }

  /** Forgets a connection that has ended. */
  function drop(client: Client, group: Group): void {
    if (client.destroyed) {
      return;
    }
    const idle = group.idle.indexOf(client);
    if (idle >= 0) {
      group.idle.splice(idle, 1);
    }
    group.open -= 1;
    client.destroy();
  }

  function dispatch(client: Client, group: Group, message: Message, exchange: Exchange): Controls {
    let controller: Dispatcher.DispatchController | undefined;
    let isOver = false;
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
          if (!client.destroyed) {
            group.idle.push(client);
          }
          end(exchange.onEnd);
        },
        onResponseError: (_, error) => {
          drop(client, group);
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
            drop(client, group);
          }
        }),
      pause: () => controller?.pause(),
      resume: () => controller?.resume(),
    };
  }

  return {
    send,
    getOpenCount: () => [...groups.values()].reduce((sum, group) => sum + group.open, 0),
    close: () => groups.forEach((group) => group.idle.forEach((client) => client.destroy())),
  };
}
