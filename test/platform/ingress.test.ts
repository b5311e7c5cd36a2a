import { expect } from 'chai';
import net from 'node:net';
import createIngress from '../../platform/createIngress';
import writeRefusal from '../../src/gateway/writeRefusal';

const LIMITS = {
  maxHeaderBytes: 2000,
  maxBodyBytes: 1000,
  headerTimeoutMs: 300,
  idleTimeoutMs: 500,
};
const HEAD = 'Host: h\r\nRequest-Id: q1\r\n';

describe('what a client sends', () => {
  let close = () => {};
  let port = 0;
  let handled: string[] = [];
  let left = 0;

  beforeEach(async () => {
    handled = [];
    left = 0;
    const ingress = createIngress({
      now: () => performance.now(),
      setTimer: (delayMs, callback) => {
        const timer = setTimeout(callback, delayMs);
        return () => clearTimeout(timer);
      },
      handle: (call, reply) => {
        handled.push(`${call.method} ${call.path} ${call.body.toString()}`);
        if (call.path !== '/hang') {
          reply.writeHead(200, [['content-length', '2']]);
          reply.end(Buffer.from('ok'));
        }
        return () => {
          left += 1;
        };
      },
      refuse: (_, reply, refusal) => {
        writeRefusal(reply, refusal);
      },
      getLimits: () => LIMITS,
      isClosing: () => false,
    });
    const { server } = ingress;
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    port = (server.address() as net.AddressInfo).port;
    close = () => {
      server.closeAllConnections();
      server.close();
    };
  });

  afterEach(() => close());

  it('as a request is handled, with a length or in chunks', async () => {
    const sized = `POST /a HTTP/1.1\r\n${HEAD}Content-Length: 4\r\nConnection: close\r\n\r\nbody`;
    expect(await send(sized)).to.match(/^HTTP\/1.1 200 .*\r\n\r\nok$/s);
    const chunked =
      `POST /b HTTP/1.1\r\n${HEAD}Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n` +
      '2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n';
    expect(await send(chunked)).to.match(/^HTTP\/1.1 200 /);
    expect(handled).to.deep.equal(['POST /a body', 'POST /b body']);
  });

  const refused: [string, string, number][] = [
    ['bytes that are no request', 'nonsense\r\n\r\n', 400],
    ['no request id', 'GET / HTTP/1.1\r\nHost: h\r\n\r\n', 400],
    [
      'two framings of one body',
      `POST / HTTP/1.1\r\n${HEAD}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
      400,
    ],
    ['headers over the limit', `GET / HTTP/1.1\r\n${HEAD}X: ${'x'.repeat(3000)}\r\n\r\n`, 431],
    ['headers over any limit', `GET / HTTP/1.1\r\n${HEAD}X: ${'x'.repeat(90_000)}\r\n\r\n`, 431],
    ['a body over the limit', `POST / HTTP/1.1\r\n${HEAD}Content-Length: 2000\r\n\r\n`, 413],
    [
      'chunks over the limit',
      `POST / HTTP/1.1\r\n${HEAD}Transfer-Encoding: chunked\r\n\r\n800\r\n${'x'.repeat(2048)}\r\n`,
      413,
    ],
    ['a body that does not come', `POST / HTTP/1.1\r\n${HEAD}Content-Length: 5\r\n\r\nab`, 408],
    ['headers that do not end', 'GET / HTTP/1.1\r\nHost: h\r\n', 408],
  ];
  refused.forEach(([name, bytes, status]) => {
    it(`with ${name} is refused with ${status} and not handled`, async () => {
      expect(await send(bytes)).to.match(new RegExp(`^HTTP/1.1 ${status} `));
      expect(handled).to.deep.equal([]);
    });
  });

  it('is let go when it leaves before its answer', async () => {
    const socket = net.connect(port, '127.0.0.1');
    socket.write(`GET /hang HTTP/1.1\r\n${HEAD}\r\n`);
    await until(() => handled.length === 1);
    socket.destroy();
    await until(() => left === 1);
  });

  function send(bytes: string): Promise<string> {
    return new Promise((resolve, reject) => {
      const socket = net.connect(port, '127.0.0.1', () => socket.write(bytes));
      let answer = '';
      socket.on('data', (chunk) => {
        answer += chunk.toString();
        if (answer.includes('\r\n\r\n') && !bytes.includes('Connection: close')) {
          socket.end();
        }
      });
      socket.on('error', reject);
      socket.on('close', () => resolve(answer));
    });
  }
});

async function until(isSo: () => boolean): Promise<void> {
  while (!isSo()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}
