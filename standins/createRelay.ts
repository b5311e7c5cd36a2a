import net from 'node:net';
import type { Socket } from 'node:net';
import type RelayMode from './RelayMode';

const SLOW_MS = 150;

/** A relay between two processes, whose connections can be cut, delayed or go silent. */
export default function createRelay(listen: string, target: string) {
  const pairs = new Set<[Socket, Socket]>();
  let mode: RelayMode = 'open';
  const server = net.createServer((near) => {
    if (mode === 'cut') {
      near.destroy();
      return;
    }
    const [host, port] = target.split(':');
    const far = net.connect({ host, port: Number(port) });
    const pair: [Socket, Socket] = [near, far];
    pairs.add(pair);
    const isMute = mode === 'silent';
    pass(near, far, () => isMute || mode === 'silent');
    pass(far, near, () => isMute || mode === 'silent' || mode === 'noAnswers');
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

  function pass(from: Socket, to: Socket, isHeld: () => boolean): void {
    from.on('data', (chunk) => {
      if (isHeld()) {
        return;
      }
      if (mode === 'slow') {
        setTimeout(() => !to.destroyed && to.write(chunk), SLOW_MS);
      } else {
        to.write(chunk);
      }
    });
  }

  return {
    setMode: (wanted: RelayMode) => {
      mode = wanted;
      if (wanted === 'cut') {
        pairs.forEach((pair) => pair.forEach((socket) => socket.destroy()));
      }
    },
    /** Resets the connections that stand; new ones are taken. */
    reset: () => pairs.forEach((pair) => pair.forEach((socket) => socket.resetAndDestroy())),
    close: () => {
      server.close();
      pairs.forEach((pair) => pair.forEach((socket) => socket.destroy()));
    },
  };
}
