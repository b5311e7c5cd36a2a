import net from 'node:net';
import type ProbeOutcome from './ProbeOutcome';

const CONNECT_TIMEOUT_MS = 400;

/** Opens a connection to `address` (`ip:port`), sends nothing on it, and returns how that ended. */
export default function probeAddress(address: string): Promise<ProbeOutcome> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = new net.Socket();
    const end = (outcome: ProbeOutcome) => {
      socket.destroy();
      resolve(outcome);
    };
    socket.once('connect', () => end('accepted'));
    socket.once('timeout', () => end('silent'));
    socket.once('error', (error: Error & { code?: string }) =>
      end(error.code === 'ECONNREFUSED' ? 'refused' : 'silent'),
    );
    try {
      socket.setTimeout(CONNECT_TIMEOUT_MS);
      socket.connect({ host, port: Number(port) });
    } catch {
      // The port is out of range.
      end('silent');
    }
  });
}
