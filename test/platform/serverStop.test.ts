import { once } from 'node:events';
import http from 'node:http';
import net from 'node:net';
import { expect } from 'chai';
import createServerStop from '../../src/http/createServerStop';

const BODY_BYTES = 12 * 1024 * 1024;
const TIMEOUT_MS = 10_000;

describe('createServerStop', () => {
  // Guards against answers that lose their last bytes in a planned stop.
  it('lets a client read the whole of a response that has ended', async () => {
    const server = http.createServer((_, response) => response.end(Buffer.alloc(BODY_BYTES)));
    const stop = createServerStop(server);
    await once(server.listen(0, '127.0.0.1'), 'listening');
    const { port } = server.address() as net.AddressInfo;
    const socket = net.connect({ host: '127.0.0.1', port });
    socket.pause();
    socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
    await once(server, 'request');
    stop();
    let bytes = 0;
    socket.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > BODY_BYTES) {
        socket.destroy();
      }
    });
    socket.resume();
    await Promise.race([once(socket, 'close'), once(socket, 'end')]);
    expect(bytes).to.be.greaterThan(BODY_BYTES);
  }).timeout(TIMEOUT_MS);
});
