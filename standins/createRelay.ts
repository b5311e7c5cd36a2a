import net from 'node:net';
import type { Socket } from 'node:net';
import type RelayMode from './RelayMode';

const SLOW_DELAY_MS = 150;

/** Creates a TCP relay between two processes that can close, delay or silence its connections. */
export default function createRelay(listen: string, target: string) {
  const pairs = new Set<[Socket, Socket]>();
  let mode: RelayMode = 'open';
  const server = net.createServer((clientSocket) => {
    if (mode === 'cut') {
      clientSocket.destroy();
      return;
    }
    const [host, port] = target.split(':');
    const targetSocket = net.connect({ host, port: Number(port) });
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
      socket.on('close', () => pairs.delete(pair));
    });
  });
  const [host, port] = listen.split(':');
  server.listen(Number(port), host);

  /** Forwards bytes and the end of a connection in their order. */
  function forward(from: Socket, to: Socket, isBlocked: () => boolean): void {
    const delay = (action: () => void) => {
      if (mode === 'slow') {
        setTimeout(() => !to.destroyed && action(), SLOW_DELAY_MS);
      } else {
        action();
      }
    };
    from.on('data', (chunk) => {
      if (!isBlocked()) {
        delay(() => to.write(chunk));
      }
    });
    from.on('end', () => {
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
      server.close();
      pairs.forEach((pair) => pair.forEach((socket) => socket.destroy()));
    },
  };
}
