import net from 'node:net';

/** A relay between VMs and another process, whose connections can be cut or go silent. */
export default function createRelay(listen: string, target: string) {
  const pairs = new Set<[net.Socket, net.Socket]>();
  let mode: 'open' | 'cut' | 'silent' = 'open';
  const server = net.createServer((near) => {
    if (mode === 'cut') {
      near.destroy();
      return;
    }
    const [host, port] = target.split(':');
    const far = net.connect({ host, port: Number(port) });
    const pair: [net.Socket, net.Socket] = [near, far];
    pairs.add(pair);
    const isMute = mode === 'silent';
    near.on('data', (chunk) => !isMute && mode !== 'silent' && far.write(chunk));
    far.on('data', (chunk) => !isMute && mode !== 'silent' && near.write(chunk));
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
  return {
    /** `cut` ends connections and refuses new ones; `silent` passes nothing on. */
    setMode: (wanted: typeof mode) => {
      mode = wanted;
      if (wanted === 'cut') {
        pairs.forEach((pair) => pair.forEach((socket) => socket.destroy()));
      }
    },
    close: () => {
      server.close();
      pairs.forEach((pair) => pair.forEach((socket) => socket.destroy()));
    },
  };
}
