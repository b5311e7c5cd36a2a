import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Server as HttpsServer } from 'node:https';
import type { Socket } from 'node:net';
import { Server as TlsServer } from 'node:tls';
import type Clock from '../shared/Clock';
import type createHeldBytes from './createHeldBytes';
import createSocketPauser from './createSocketPauser';
import type LimitReason from './LimitReason';

const PAUSE_REASON = 'pipelining';
/** Requests of one connection that are served at the same time; further ones wait. */
const MAX_RUNNING = 2;
/** Requests of one connection; a client that pipelines more is disconnected. */
const MAX_OPEN = 64;
/** No further request of a connection starts while this much of its responses is unread. */
const MAX_UNREAD_BYTES = 64 * 1024;
/** A server cuts off a response that stays unread for some seconds. */
const UNREAD_TIMEOUT_MS = 5000;
const SWEEP_INTERVAL_MS = 250;

type Listener = (incoming: IncomingMessage, response: ServerResponse) => unknown;

interface Connection {
  socket: Socket;
  running: number;
  waiting: { response: ServerResponse; start: () => void }[];
  responses: Set<ServerResponse>;
  servedCount: number;
  /** Bytes that the other end had accepted at the last sweep, and when that number changed. */
  acceptedBytes: number;
  acceptedAt: number;
  entry: ReturnType<ReturnType<typeof createHeldBytes>['add']> | undefined;
}

interface GuardHost extends Clock {
  held: ReturnType<typeof createHeldBytes>;
  onLimited(reason: LimitReason): void;
}

/**
 * Creates a guard of one HTTP server against clients that open many connections, pipeline many
 * requests, or do not read their responses. `listener` is to be the server's listener.
 */
export default function createServerGuard(
  host: GuardHost,
  options: { maxConnections: number },
  handleRequest: Listener,
) {
  /** In order of their last use. */
  const connections = new Map<Socket, Connection>();

  function accept(socket: Socket): void {
    if (connections.size >= options.maxConnections) {
      const idle = findIdle();
      host.onLimited(idle ? 'idleConnection' : 'connections');
      (idle?.socket ?? socket).destroy();
      if (!idle) {
        return;
      }
      connections.delete(idle.socket);
    }
    const connection: Connection = {
      socket,
      running: 0,
      waiting: [],
      responses: new Set(),
      servedCount: 0,
      acceptedBytes: 0,
      acceptedAt: host.now(),
      entry: undefined,
    };
    connections.set(socket, connection);
    socket.once('close', () => {
      connections.delete(socket);
      connection.waiting = [];
      connection.entry?.release(host.now());
      // Node.js reports the end of a connection only to the response that is being written.
      setImmediate(() =>
        connection.responses.forEach((response) => {
          response.destroy();
          response.emit('close');
        }),
      );
    });
  }

  /** Returns the connection to close for a new one: unused ones first, then the longest idle. */
  function findIdle(): Connection | undefined {
    let idle: Connection | undefined;
    for (const connection of connections.values()) {
      if (connection.responses.size === 0) {
        if (connection.servedCount === 0) {
          return connection;
        }
        idle ??= connection;
      }
    }
    return idle;
  }

  function listener(incoming: IncomingMessage, response: ServerResponse): void {
    const { socket } = incoming;
    const connection = connections.get(socket);
    if (!connection || socket.destroyed) {
      return;
    }
    if (connection.responses.size >= MAX_OPEN) {
      host.onLimited('pipelining');
      socket.destroy();
      return;
    }
    connection.responses.add(response);
    let hasStarted = false;
    response.once('close', () => {
      connection.responses.delete(response);
      connection.servedCount += 1;
      connection.running -= hasStarted ? 1 : 0;
      if (connections.has(socket)) {
        connections.delete(socket);
        connections.set(socket, connection);
        update(connection);
        startWaiting(connection);
      }
    });
    connection.waiting.push({
      response,
      start: () => {
        hasStarted = true;
        connection.running += 1;
        handleRequest(incoming, response);
      },
    });
    startWaiting(connection);
  }

  /** Starts waiting requests of a connection, and reads on once none is left. */
  function startWaiting(connection: Connection): void {
    const pauser = createSocketPauser(connection.socket);
    while (
      connection.waiting.length > 0 &&
      connection.running < MAX_RUNNING &&
      (connection.running === 0 || getUnreadBytes(connection) < MAX_UNREAD_BYTES)
    ) {
      connection.waiting.shift()!.start();
    }
    if (connection.waiting.length > 0) {
      pauser.pause(PAUSE_REASON);
    } else {
      pauser.resume(PAUSE_REASON);
    }
  }

  /** Updates the account of the bytes that the other end has not accepted. */
  function update(connection: Connection): void {
    const now = host.now();
    const unreadBytes = getUnreadBytes(connection);
    const acceptedBytes = getAcceptedBytes(connection.socket);
    if (unreadBytes === 0 || acceptedBytes !== connection.acceptedBytes) {
      Object.assign(connection, { acceptedBytes, acceptedAt: now });
    }
    if (unreadBytes <= MAX_UNREAD_BYTES) {
      connection.entry?.release(now);
      connection.entry = undefined;
      return;
    }
    connection.entry ??= host.held.add(now, 'unread', {
      maxBytes: unreadBytes,
      getProgress: () => getAcceptedBytes(connection.socket),
      pause: () => {},
      resume: () => {},
      close: (reason) => cut(connection, reason === 'stuck' ? 'unread' : 'overLimit'),
    });
    connection.entry.setBytes(now, unreadBytes);
  }

  function cut({ socket }: Connection, reason: LimitReason): void {
    host.onLimited(reason);
    socket.destroy();
  }

  function sweep(): void {
    connections.forEach((connection) => {
      if (connection.responses.size > 0) {
        update(connection);
        if (host.now() - connection.acceptedAt >= UNREAD_TIMEOUT_MS) {
          cut(connection, 'unread');
        }
      }
    });
    host.held.decide(host.now());
    cancelSweep = host.setTimer(SWEEP_INTERVAL_MS, sweep);
  }

  let cancelSweep = host.setTimer(SWEEP_INTERVAL_MS, sweep);

  return {
    listener,
    /** Starts to bound the connections of the server. */
    attach: (server: Server | HttpsServer) => {
      server.on(server instanceof TlsServer ? 'secureConnection' : 'connection', accept);
      server.once('close', () => cancelSweep());
    },
    /** Records at once that bytes were written to a response. */
    recordWrite: ({ socket }: ServerResponse) => {
      const connection = socket && connections.get(socket);
      if (connection) {
        update(connection);
      }
    },
  };
}

function getUnreadBytes({ responses, socket }: Connection): number {
  let bytes = socket.writableLength;
  responses.forEach((response) => {
    bytes += response.writableLength - (response.socket ? response.socket.writableLength : 0);
  });
  return bytes;
}

/** Returns the bytes of a socket that the kernel has accepted, also of a chunk that it has in part. */
function getAcceptedBytes(socket: Socket): number {
  const { writeQueueSize = 0 } =
    (socket as { _handle?: { writeQueueSize?: number } })._handle ?? {};
  return socket.bytesWritten - socket.writableLength - writeQueueSize;
}
