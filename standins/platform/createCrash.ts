import type http from 'node:http';
import type net from 'node:net';

/** Time after a crash at which a server is back. */
const RESTART_MS = 2000;

/** Creates the function that ends a server as a crash does, and starts it again after some time. */
export default function createCrash(
  server: http.Server,
  host: { onCrash(cause: string | undefined): void; onRestart(): void },
): (cause?: string) => void {
  const sockets = new Set<net.Socket>();
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });

  return (cause) => {
    if (!server.listening) {
      return;
    }
    host.onCrash(cause);
    const { address, port } = server.address() as net.AddressInfo;
    server.close();
    sockets.forEach((socket) => socket.resetAndDestroy());
    setTimeout(() => {
      server.listen(port, address);
      host.onRestart();
    }, RESTART_MS);
  };
}
