import { expect } from 'chai';
import net from 'node:net';
import createConnections from '../../src/upstream/createConnections';
import type ResponseHandler from '../../src/upstream/ResponseHandler';

type ExchangeResult =
  { kind: 'complete'; status: number; body: string } | { kind: 'error'; reason: string };

const REQUEST = { method: 'GET', path: '/a', headers: ['Host', 'h'], body: undefined };

describe('createConnections', () => {
  let servers: net.Server[] = [];

  afterEach(() => {
    servers.forEach((server) => server.close());
    servers = [];
  });

  it('accepts a response without a length as complete if its connection is closed', async () => {
    const address = await listen((socket) => {
      socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole');
    });
    expect(await sendRequest(address)).to.deep.equal({
      kind: 'complete',
      status: 200,
      body: 'whole',
    });
  });

  // Guards against a client that fails an assertion inside of its parser.
  ['000', '001', '099'].forEach((status) => {
    it(`reports the status ${status} as an error, and goes on with a new connection`, async () => {
      let responses = 0;
      const address = await listen((socket) => {
        responses += 1;
        const line = responses === 1 ? `${status} Odd` : '200 OK';
        socket.write(`HTTP/1.1 ${line}\r\nContent-Length: 4\r\n\r\ndone`);
      });
      const reason = `a response has the status ${Number(status)}`;
      expect(await sendRequest(address)).to.deep.equal({ kind: 'error', reason });
      expect(await sendRequest(address)).to.deep.include({ kind: 'complete', body: 'done' });
    });
  });

  it('reports an error if the connection is reset during a response without a length', async () => {
    const address = await listen((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nha', () => {
        setTimeout(() => socket.resetAndDestroy(), 20);
      });
    });
    expect(await sendRequest(address)).to.deep.include({ kind: 'error' });
  });

  it('reports an error if a reset directly follows a response without a length', async () => {
    const address = await listen((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nha');
      setImmediate(() => socket.resetAndDestroy());
    });
    expect(await sendRequest(address)).to.deep.include({ kind: 'error' });
  });

  // Guards against a truncated body that is taken for whole because of an earlier response (MIXED).
  [
    ['204', 'GET', 'HTTP/1.1 204 No Content\r\n\r\n'],
    ['304', 'GET', 'HTTP/1.1 304 Not Modified\r\n\r\n'],
    ['a response to HEAD', 'HEAD', 'HTTP/1.1 200 OK\r\n\r\n'],
    ['a length', 'GET', 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'],
  ].forEach(([name, method, first]) => {
    it(`reports an error if a response without a length is reset on a connection that carried ${name}`, async () => {
      let requestCount = 0;
      let connectionCount = 0;
      const address = await listen(
        (socket) => {
          requestCount += 1;
          if (requestCount === 1) {
            socket.write(first);
          } else {
            socket.write('HTTP/1.1 200 OK\r\n\r\nha');
            setImmediate(() => socket.resetAndDestroy());
          }
        },
        () => {
          connectionCount += 1;
        },
      );
      const connections = createConnections(() => {});
      const earlier = await sendRequest(address, connections, { ...REQUEST, method });
      expect(earlier).to.deep.include({ kind: 'complete', body: '' });
      expect(await sendRequest(address, connections)).to.deep.include({ kind: 'error' });
      expect(connectionCount).to.equal(1);
    });
  });

  // Guards against a truncated body that is taken for whole since its coding looks like framing (MIXED).
  it('reports an error if a reset follows a body whose last transfer coding is not chunked', async () => {
    const address = await listen((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nha');
      setImmediate(() => socket.resetAndDestroy());
    });
    expect(await sendRequest(address)).to.deep.include({ kind: 'error' });
  });

  it('accepts a response without a length after a 204 if its connection is closed', async () => {
    let requestCount = 0;
    const address = await listen((socket) => {
      requestCount += 1;
      if (requestCount === 1) {
        socket.write('HTTP/1.1 204 No Content\r\n\r\n');
      } else {
        socket.end('HTTP/1.1 200 OK\r\n\r\nwhole');
      }
    });
    const connections = createConnections(() => {});
    await sendRequest(address, connections);
    expect(await sendRequest(address, connections)).to.deep.include({
      kind: 'complete',
      body: 'whole',
    });
  });

  it('reports an error for a response that is shorter than its length', async () => {
    const address = await listen((socket) => {
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf');
    });
    expect(await sendRequest(address)).to.deep.include({ kind: 'error' });
  });

  it('says whether a connection has carried other requests before', async () => {
    const address = await listen((socket) =>
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'),
    );
    const connections = createConnections(() => {});
    const reused: (boolean | undefined)[] = [];
    for (let count = 0; count < 2; count += 1) {
      await new Promise<void>((resolve) => {
        connections.send(address, REQUEST, 1, {
          onHead: (_, __, isReused) => reused.push(isReused),
          onData: () => {},
          onEnd: resolve,
          onError: () => resolve(),
        });
      });
    }
    connections.close();
    expect(reused).to.deep.equal([false, true]);
  });

  it('does not reuse a connection on which more than one response arrived', async () => {
    let connectionCount = 0;
    const response = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';
    const address = await listen(
      (socket) => socket.write(response + response),
      () => {
        connectionCount += 1;
      },
    );
    const connections = createConnections(() => {});
    expect(await sendRequest(address, connections)).to.deep.include({
      kind: 'complete',
      body: 'ok',
    });
    await delay(20);
    expect(await sendRequest(address, connections)).to.deep.include({
      kind: 'complete',
      body: 'ok',
    });
    expect(connectionCount).to.equal(2);
    connections.close();
  });

  it('does not reuse a connection after a message that is its last, nor after a close option', async () => {
    let connectionCount = 0;
    let close = '';
    const address = await listen(
      (socket) => socket.write(`HTTP/1.1 200 OK\r\n${close}Content-Length: 2\r\n\r\nok`),
      () => {
        connectionCount += 1;
      },
    );
    const connections = createConnections(() => {});
    const whole = { kind: 'complete', body: 'ok' };
    expect(await sendRequest(address, connections, { ...REQUEST, isLast: true })).to.deep.include(
      whole,
    );
    close = 'Connection: close\r\n';
    expect(await sendRequest(address, connections)).to.deep.include(whole);
    expect(await sendRequest(address, connections)).to.deep.include(whole);
    expect(connectionCount).to.equal(3);
    connections.close();
  });

  it('reports that nothing was sent if the upstream refuses the connection', async () => {
    const address = await listen(() => {});
    servers[0].close();
    await delay(10);
    const connections = createConnections(() => {});
    const error = await new Promise((resolve) => {
      connections.send(address, REQUEST, 4, { ...IGNORING_HANDLER, onError: resolve });
    });
    expect(error).to.deep.include({ kind: 'notSent' });
  });

  it('does not give up a large body whose reader pauses', async () => {
    const size = 4 * 1024 * 1024;
    const address = await listen((socket) => {
      socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${size}\r\n\r\n`);
      socket.write(Buffer.alloc(size, 'x'));
    });
    const connections = createConnections(() => {});
    let received = 0;
    let pauseCount = 0;
    const outcome = await new Promise<string>((resolve) => {
      const controls = connections.send(address, REQUEST, 1, {
        onHead: () => {},
        onData: (chunk) => {
          received += chunk.length;
          if (received > pauseCount * (size / 8)) {
            pauseCount += 1;
            controls!.pause();
            setTimeout(controls!.resume, 20);
          }
        },
        onEnd: () => resolve('end'),
        onError: ({ reason }) => resolve(reason),
      });
    });
    expect([outcome, received, pauseCount]).to.deep.equal(['end', size, 8]);
    connections.close();
  });

  it('opens no more connections than allowed for the upstream', async () => {
    const address = await listen(() => {});
    const connections = createConnections(() => {});
    const controls = connections.send(address, REQUEST, 1, IGNORING_HANDLER);
    expect(controls).not.to.equal(undefined);
    expect(connections.send(address, REQUEST, 1, IGNORING_HANDLER)).to.equal(undefined);
    controls!.abort();
  });

  function listen(respond: (socket: net.Socket) => void, onOpened = () => {}): Promise<string> {
    return new Promise((resolve) => {
      const server = net.createServer((socket) => {
        onOpened();
        socket.on('error', () => {});
        socket.on('data', () => respond(socket));
      });
      servers.push(server);
      server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(server.address() as net.AddressInfo).port}`);
      });
    });
  }
});

const IGNORING_HANDLER: ResponseHandler = { onHead() {}, onData() {}, onEnd() {}, onError() {} };

function sendRequest(
  address: string,
  connections = createConnections(() => {}),
  message: Parameters<typeof connections.send>[1] = REQUEST,
): Promise<ExchangeResult> {
  return new Promise((resolve) => {
    let status = 0;
    let body = '';
    connections.send(address, message, 4, {
      onHead: (head) => {
        status = head;
      },
      onData: (chunk) => {
        body += chunk.toString();
      },
      onEnd: () => resolve({ kind: 'complete', status, body }),
      onError: ({ reason }) => resolve({ kind: 'error', reason }),
    });
  });
}

function delay(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}
