import { expect } from 'chai';
import net from 'node:net';
import decodeCallerRequest from '../../platform/decodeCallerRequest';
import createIngress from '../../platform/createIngress';
import writeRefusal from '../../src/gateway/writeRefusal';

const LIMITS = {
  maxHeaderBytes: 2000,
  maxBodyBytes: 1000,
  headerTimeoutMs: 300,
  idleTimeoutMs: 500,
};
const HEADERS = 'Host: h\r\nRequest-Id: q1\r\n';

describe('createIngress', () => {
  let close = () => {};
  let port = 0;
  let handled: string[] = [];
  let disconnectCount = 0;

  beforeEach(async () => {
    handled = [];
    disconnectCount = 0;
    const ingress = createIngress({
      decodeRequest: decodeCallerRequest,
      now: () => performance.now(),
      setTimer: (delayMs, callback) => {
        const timer = setTimeout(callback, delayMs);
        return () => clearTimeout(timer);
      },
      handle: (callerRequest, response) => {
        handled.push(
          `${callerRequest.method} ${callerRequest.path} ${callerRequest.body.toString()}`,
        );
        if (callerRequest.path !== '/hang') {
          response.writeHead(200, [['content-length', '2']]);
          response.end(Buffer.from('ok'));
        }
        return () => {
          disconnectCount += 1;
        };
      },
      refuse: (_, response, refusal) => {
        writeRefusal(response, refusal);
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

  it('handles a request with a content length or in chunks', async () => {
    const sized = `POST /a HTTP/1.1\r\n${HEADERS}Content-Length: 4\r\nConnection: close\r\n\r\nbody`;
    expect(await send(sized)).to.match(/^HTTP\/1.1 200 .*\r\n\r\nok$/s);
    const chunked =
      `POST /b HTTP/1.1\r\n${HEADERS}Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n` +
      '2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n';
    expect(await send(chunked)).to.match(/^HTTP\/1.1 200 /);
    expect(handled).to.deep.equal(['POST /a body', 'POST /b body']);
  });

  const refusedRequests: [string, string, number][] = [
    ['bytes that are not an HTTP request', 'nonsense\r\n\r\n', 400],
    ['a request without an id', 'GET / HTTP/1.1\r\nHost: h\r\n\r\n', 400],
    [
      'a body with both a content length and chunked encoding',
      `POST / HTTP/1.1\r\n${HEADERS}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
      400,
    ],
    ['headers over the limit', `GET / HTTP/1.1\r\n${HEADERS}X: ${'x'.repeat(3000)}\r\n\r\n`, 431],
    [
      'headers over the server’s own limit',
      `GET / HTTP/1.1\r\n${HEADERS}X: ${'x'.repeat(90_000)}\r\n\r\n`,
      431,
    ],
    ['a body over the limit', `POST / HTTP/1.1\r\n${HEADERS}Content-Length: 2000\r\n\r\n`, 413],
    [
      'a chunked body over the limit',
      `POST / HTTP/1.1\r\n${HEADERS}Transfer-Encoding: chunked\r\n\r\n800\r\n${'x'.repeat(2048)}\r\n`,
      413,
    ],
    ['an incomplete body', `POST / HTTP/1.1\r\n${HEADERS}Content-Length: 5\r\n\r\nab`, 408],
    ['incomplete headers', 'GET / HTTP/1.1\r\nHost: h\r\n', 408],
  ];
  refusedRequests.forEach(([name, bytes, status]) => {
    it(`refuses ${name} with ${status} and does not handle it`, async () => {
      expect(await send(bytes)).to.match(new RegExp(`^HTTP/1.1 ${status} `));
      expect(handled).to.deep.equal([]);
    });
  });

  it('aborts a request whose client disconnects before the response', async () => {
    const socket = net.connect(port, '127.0.0.1');
    socket.write(`GET /hang HTTP/1.1\r\n${HEADERS}\r\n`);
    await waitUntil(() => handled.length === 1);
    socket.destroy();
    await waitUntil(() => disconnectCount === 1);
  });

  function send(bytes: string): Promise<string> {
    return new Promise((resolve, reject) => {
      const socket = net.connect(port, '127.0.0.1', () => socket.write(bytes));
      let response = '';
      socket.on('data', (chunk) => {
        response += chunk.toString();
        if (response.includes('\r\n\r\n') && !bytes.includes('Connection: close')) {
          socket.end();
        }
      });
      socket.on('error', reject);
      socket.on('close', () => resolve(response));
    });
  }
});

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}
