import net from 'node:net';

const CONNECT_TIMEOUT_MS = 400;

/**
 * Returns whether a host refuses connections to `address` (`ip:port`), which it does if no process
 * listens there. A timeout says nothing about the process.
 */
export default function isConnectionRefused(address: string): Promise<boolean> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = net.connect({ host, port: Number(port), timeout: CONNECT_TIMEOUT_MS });
    const end = (isRefused: boolean) => {
      socket.destroy();
      resolve(isRefused);
    };
    socket.once('connect', () => end(false));
    socket.once('timeout', () => end(false));
    socket.once('error', (error: Error & { code?: string }) => end(error.code === 'ECONNREFUSED'));
  });
}
