import { expect } from 'chai';
import net from 'node:net';
import createConnections from '../../src/upstream/createConnections';
import type ResponseHandler from '../../src/upstream/ResponseHandler';

type End = { kind: 'whole'; status: number; body: string } | { kind: 'error'; reason: string };

const CALL = { method: 'GET', path: '/a', headers: ['Host', 'h'], body: undefined };

describe('connections to upstreams', () => {
  let servers: net.Server[] = [];

  afterEach(() => {
    servers.forEach((server) => server.close());
    servers = [];
  });

  it('takes an answer without length as whole when its connection is closed', async () => {
    const address = await listen((socket) => {
      socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole');
    });
    expect(await exchange(address)).to.deep.equal({ kind: 'whole', status: 200, body: 'whole' });
  });

  it('takes an answer without length as broken when its connection is reset', async () => {
    const address = await listen((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nha', () => {
        setTimeout(() => socket.resetAndDestroy(), 20);
      });
    });
    expect(await exchange(address)).to.deep.include({ kind: 'error' });
  });

  it('takes an answer without length as broken when the reset comes with its last bytes', async () => {
    const address = await listen((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nha');
      setImmediate(() => socket.resetAndDestroy());
    });
    expect(await exchange(address)).to.deep.include({ kind: 'error' });
  });

  it('takes an answer that ends before its length as broken', async () => {
    const address = await listen((socket) => {
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf');
    });
    expect(await exchange(address)).to.deep.include({ kind: 'error' });
  });

  it('uses no connection again on which more came than one answer', async () => {
    let connections = 0;
    const answer = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';
    const address = await listen(
      (socket) => socket.write(answer + answer),
      () => {
        connections += 1;
      },
    );
    const pool = createConnections(() => {});
    expect(await exchange(address, pool)).to.deep.include({ kind: 'whole', body: 'ok' });
    await pause(20);
    expect(await exchange(address, pool)).to.deep.include({ kind: 'whole', body: 'ok' });
    expect(connections).to.equal(2);
    pool.close();
  });

  it('says that nothing was sent where nobody listens', async () => {
    const address = await listen(() => {});
    servers[0].close();
    await pause(10);
    const pool = createConnections(() => {});
    const end = await new Promise((resolve) => {
      pool.send(address, CALL, 4, { ...IGNORED, onError: resolve });
    });
    expect(end).to.deep.include({ kind: 'notSent' });
  });

  it('opens no more connections than an upstream accepts', async () => {
    const address = await listen(() => {});
    const pool = createConnections(() => {});
    const first = pool.send(address, CALL, 1, IGNORED);
    expect(first).not.to.equal(undefined);
    expect(pool.send(address, CALL, 1, IGNORED)).to.equal(undefined);
    first!.abort();
  });

  function listen(answer: (socket: net.Socket) => void, onOpened = () => {}): Promise<string> {
    return new Promise((resolve) => {
      const server = net.createServer((socket) => {
        onOpened();
        socket.on('error', () => {});
        socket.on('data', () => answer(socket));
      });
      servers.push(server);
      server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(server.address() as net.AddressInfo).port}`);
      });
    });
  }
});

const IGNORED: ResponseHandler = { onHead() {}, onData() {}, onEnd() {}, onError() {} };

function exchange(address: string, pool = createConnections(() => {})): Promise<End> {
  return new Promise((resolve) => {
    let status = 0;
    let body = '';
    pool.send(address, CALL, 4, {
      onHead: (head) => {
        status = head;
      },
      onData: (chunk) => {
        body += chunk.toString();
      },
      onEnd: () => resolve({ kind: 'whole', status, body }),
      onError: ({ reason }) => resolve({ kind: 'error', reason }),
    });
  });
}

function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}
