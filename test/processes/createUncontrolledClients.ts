import { once } from 'node:events';
import net from 'node:net';

/** Writes to one connection; resolves to false once the connection has ended. */
type Write = (bytes: Buffer | string) => Promise<boolean>;

/** What one client sends on its connection. */
type Sender = (write: Write, index: number) => Promise<unknown>;

/**
 * Creates clients that do not keep to the limits: each opens a connection, sends what its sender
 * writes as fast as the server accepts it, reads nothing of the responses, and keeps the connection
 * open until `close`.
 */
export default function createUncontrolledClients(address: string) {
  const [host, port] = address.split(':');
  const sockets: net.Socket[] = [];

  async function connect(): Promise<net.Socket> {
    const socket = net.connect({ host, port: Number(port) });
    sockets.push(socket);
    socket.on('error', () => socket.destroy());
    await Promise.race([once(socket, 'connect'), once(socket, 'close')]).catch(() => {});
    return socket;
  }

  async function runOne(send: Sender, index: number): Promise<void> {
    const socket = await connect();
    const ended = new Promise<void>((resolve) => {
      socket.once('close', () => resolve());
    });
    const write: Write = async (bytes) => {
      if (!socket.destroyed && !socket.write(bytes)) {
        await Promise.race([ended, once(socket, 'drain').catch(() => {})]);
      }
      return !socket.destroyed;
    };
    await send(write, index);
  }

  return {
    /** Lets `count` clients send at the same time; resolves at the latest after `limitMs`. */
    async run(count: number, send: Sender, limitMs: number): Promise<void> {
      const timer = new Promise<void>((resolve) => {
        setTimeout(resolve, limitMs);
      });
      const clients = Array.from({ length: count }, (_, index) => runOne(send, index));
      await Promise.race([Promise.all(clients), timer]);
    },
    close: () => sockets.forEach((socket) => socket.destroy()),
  };
}
