import net from 'node:net';

/**
 * Creates a proxy for one link. `silence` makes its open channels go silent for good: neither side
 * sees an end, and their bytes are lost; channels that are opened later work.
 */
export default function createLink(listenAddress, targetAddress) {
  const pairs = new Set();
  const [host, port] = listenAddress.split(':');
  const [targetHost, targetPort] = targetAddress.split(':');
  const server = net.createServer({ allowHalfOpen: true, noDelay: true }, (near) => {
    const far = net.connect({
      host: targetHost,
      port: Number(targetPort),
      allowHalfOpen: true,
      noDelay: true,
    });
    const pair = { near, far, isSilent: false };
    pairs.add(pair);
    const forward = (from, to) => {
      from.on('data', (chunk) => !pair.isSilent && to.write(chunk));
      from.on('end', () => !pair.isSilent && to.end());
      from.on('error', () => {
        if (!pair.isSilent) {
          to.resetAndDestroy();
        }
      });
      from.on('close', () => pairs.delete(pair));
    };
    forward(near, far);
    forward(far, near);
  });

  return {
    listen: () =>
      new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(Number(port), host, resolve);
      }),
    /** Returns the number of channels that it has silenced. */
    silence: () => {
      const open = [...pairs].filter(({ isSilent }) => !isSilent);
      open.forEach((pair) => Object.assign(pair, { isSilent: true }));
      return open.length;
    },
    close: () => {
      server.close();
      pairs.forEach(({ near, far }) => [near, far].forEach((socket) => socket.destroy()));
    },
  };
}
