import type { Server } from 'node:http';
import type { Server as HttpsServer } from 'node:https';
import type { Socket } from 'node:net';

/**
 * Returns a function that ends a server's listening and its idle connections. `close` of Node.js also
 * destroys connections on which a response has ended but not left the process.
 */
export default function createServerStop(server: Server | HttpsServer): () => void {
  const openCounts = new Map<Socket, number>();
  server.on('request', ({ socket }, response) => {
    openCounts.set(socket, (openCounts.get(socket) ?? 0) + 1);
    response.once('close', () => {
      const openCount = openCounts.get(socket)! - 1;
      if (openCount === 0) {
        openCounts.delete(socket);
      } else {
        openCounts.set(socket, openCount);
      }
    });
  });
  return () => {
    const sockets = [...openCounts.keys()];
    sockets.forEach((socket) => Object.assign(socket, { destroy: () => socket }));
    server.close();
    sockets.forEach((socket) => Reflect.deleteProperty(socket, 'destroy'));
  };
}
