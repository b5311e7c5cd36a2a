import net from 'node:net';
import type { Socket } from 'node:net';
import type RelayMode from './RelayMode';

const SLOW_DELAY_MS = 150;
const CLOSE_DELAY_MS = 2 * SLOW_DELAY_MS;
/** Time after which a relay whose target refuses connections tries it again. */
const TARGET_CHECK_MS = 50;

/**
 * Creates a TCP relay between two processes that can close, delay or silence its connections. It
 * refuses connections while its target does.
 */
export default function createRelay(listen: string, target: string) {
  const pairs = new Set<[Socket, Socket]>();
  let mode: RelayMode = 'open';
  const server = net.createServer((clientSocket) => {
    if (mode === 'cut') {
      clientSocket.destroy();
      return;
    }
    const targetSocket = connectToTarget();
    const pair: [Socket, Socket] = [clientSocket, targetSocket];
    pairs.add(pair);
    const isOpenedSilent = mode === 'silent';
    forward(clientSocket, targetSocket, () => isOpenedSilent || mode === 'silent');
    forward(
      targetSocket,
      clientSocket,
      () => isOpenedSilent || mode === 'silent' || mode === 'noAnswers',
    );
    pair.forEach((socket) => {
      socket.on('error', () => pair.forEach((other) => other.resetAndDestroy()));
      socket.on('close', () =>
        // The other side may still have delayed bytes and an end to write.
        setTimeout(() => {
          pair.forEach((other) => other.destroy());
          pairs.delete(pair);
        }, CLOSE_DELAY_MS),
      );
    });
  });
  const [host, port] = listen.split(':');
  let isClosed = false;
  server.listen(Number(port), host);

  function connectToTarget(): Socket {
    const [targetHost, targetPort] = target.split(':');
    const socket = net.connect({ host: targetHost, port: Number(targetPort) });
    socket.once('error', (error: Error & { code?: string }) => {
      if (error.code === 'ECONNREFUSED') {
        server.close();
        setTimeout(reopen, TARGET_CHECK_MS);
      }
    });
    return socket;
  }

  function reopen(): void {
    if (isClosed || server.listening) {
      return;
    }
    const socket = connectToTarget();
    socket.once('connect', () => {
      socket.destroy();
      if (!isClosed && !server.listening) {
        server.listen(Number(port), host);
      }
    });
  }

  /** Forwards bytes and the end of a connection in their order. */
  function forward(from: Socket, to: Socket, isBlocked: () => boolean): void {
    /** Number of delayed actions; what follows them waits as long. */
    let delayedCount = 0;
    const delay = (action: () => void) => {
      if (mode !== 'slow' && delayedCount === 0) {
        action();
        return;
      }
      delayedCount += 1;
      setTimeout(() => {
        delayedCount -= 1;
        if (!to.destroyed) {
          action();
        }
      }, SLOW_DELAY_MS);
    };
    /** After bytes were lost, nothing that follows them can arrive on a connection. */
    let hasLostBytes = false;
    from.on('data', (chunk) => {
      hasLostBytes ||= isBlocked();
      if (!hasLostBytes) {
        delay(() => to.write(chunk));
      }
    });
    from.on('end', () => {
      if (hasLostBytes) {
        return;
      }
      // Node.js reports a reset right behind the last bytes as an end without a peer address.
      const isReset = from.remoteAddress === undefined;
      delay(() => (isReset ? to.resetAndDestroy() : to.end()));
    });
  }

  function resetAll(): void {
    pairs.forEach((pair) => pair.forEach((socket) => socket.resetAndDestroy()));
  }

  return {
    setMode: (newMode: RelayMode) => {
      mode = newMode;
      if (newMode === 'cut') {
        resetAll();
      }
    },
    /** Resets the open connections; new ones are still accepted. */
    reset: resetAll,
    close: () => {
      isClosed = true;
      server.close();
      pairs.forEach((pair) => pair.forEach((socket) => socket.destroy()));
    },
  };
}
