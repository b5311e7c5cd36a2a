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
      socket.on('error', () => {});
      socket.on('close', () => {
        pairs.delete(pair);
        pair.forEach((other) => other.destroy());
      });
    });
  });
  const [host, port] = listen.split(':');
  server.listen(Number(port), host);

  function forward(from: Socket, to: Socket, isBlocked: () => boolean): void {
    from.on('data', (chunk) => {
      if (isBlocked()) {
        return;
      }
      if (mode === 'slow') {
        setTimeout(() => !to.destroyed && to.write(chunk), SLOW_DELAY_MS);
      } else {
        to.write(chunk);
      }
    });
  }

  return {
    setMode: (newMode: RelayMode) => {
      mode = newMode;
      if (newMode === 'cut') {
        pairs.forEach((pair) => pair.forEach((socket) => socket.destroy()));
      }
    },
    /** Resets the open connections; new ones are still accepted. */
    reset: () => pairs.forEach((pair) => pair.forEach((socket) => socket.resetAndDestroy())),
    close: () => {
      server.close();
      pairs.forEach((pair) => pair.forEach((socket) => socket.destroy()));
    },
  };
}
