import diagnosticsChannel from 'node:diagnostics_channel';
import net from 'node:net';
import { expect } from 'chai';
import createEngineControl from '../../platform/createEngineControl';
import createKeyValueClient from '../../platform/createKeyValueClient';
import type ActiveRequest from '../../src/gateway/ActiveRequest';
import sendAttempt from '../../src/gateway/sendAttempt';
import type Route from '../../src/manifest/Route';
import type ResponseHandler from '../../src/upstream/ResponseHandler';
import createVirtualClock from '../scenario/createVirtualClock';
import createConnections from '../../src/upstream/createConnections';
import createHttpEngineClient from '../../src/upstream/createHttpEngineClient';
import createHttpServiceClient from '../../src/upstream/createHttpServiceClient';

const REQUEST = { method: 'GET', path: '/a', headers: ['Host', 'h'], body: undefined };
const CHUNK_BYTES = 16 * 1024;
/** Well over what may be read before a response without end is given up. */
const MAX_READ_BYTES = 8 * 1024 * 1024;
const GIVE_UP_MS = 3000;
/** The most that a client keeps of a response that it reads as a whole. */
const MAX_KEPT_BYTES = 8 * 1024 * 1024;
/** What a socket reads before it ends. */
const MAX_READ_AHEAD_BYTES = 256 * 1024;
const CLIENT_SOCKET_CHANNEL = 'net.client.socket';
const MAX_HEAP_GROWTH_BYTES = 64 * 1024 * 1024;
/** Average size of what a handler gets at once of a body that arrives fast. */
const MIN_PART_BYTES = 1024;
const COMMAND = { kind: 'load', model: 'm', adapter: 'a', version: 1 } as const;
const CONDITION = { expectedSequence: 1, holder: 'vm', fence: 1 };
const CALL = {
  id: '1',
  method: 'GET',
  path: '/',
  contentType: 'text/plain',
  body: '',
  timeoutMs: 1000,
};
const DEADLINE_MS = 2000;

describe('a response without end', () => {
  let servers: net.Server[] = [];
  let clientSockets: net.Socket[] = [];
  const recordSocket = (message: unknown) => {
    clientSockets.push((message as { socket: net.Socket }).socket);
  };

  before(() => diagnosticsChannel.subscribe(CLIENT_SOCKET_CHANNEL, recordSocket));

  after(() => diagnosticsChannel.unsubscribe(CLIENT_SOCKET_CHANNEL, recordSocket));

  afterEach(() => {
    clientSockets = [];
    servers.forEach((server) => server.close());
    servers = [];
  });

  const heads: [string, string, string][] = [
    ['bytes that are no response', '', 'x'],
    ['a status line', 'HTTP/1.1 200 ', 'x'],
    ['a header', 'HTTP/1.1 200 OK\r\nName: ', 'x'],
    ['headers', 'HTTP/1.1 200 OK\r\n', 'Name: x\r\n'],
    ['interim responses', '', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
  ];
  heads.forEach(([name, start, repeated]) => {
    it(`does not hold up its request or fill the memory: ${name} in the head`, async () => {
      const { address, getWrittenBytes, closed } = await listen(start, repeated);
      const reason = await new Promise((resolve, reject) => {
        setTimeout(() => reject(new Error('no end')), GIVE_UP_MS).unref();
        createConnections(() => {}).send(address, REQUEST, 4, {
          onHead: () => {},
          onData: () => {},
          onEnd: () => resolve('end'),
          onError: (error) => resolve(error.kind),
        });
      });
      expect(reason).to.equal('lost');
      await closed;
      expect(getWrittenBytes()).to.be.lessThan(MAX_READ_BYTES);
    });
  });

  // Guards against a body in very small chunks, which keep many times their size in the heap.
  [200, 500].forEach((status) => {
    it(`does not fill the memory: a body of ${status} in chunks of one byte`, async () => {
      const head = `HTTP/1.1 ${status} X\r\nTransfer-Encoding: chunked\r\n\r\n`;
      const { address, closed } = await listen(head, '1\r\nx\r\n');
      let partCount = 0;
      let bytes = 0;
      const reason = await new Promise((resolve, reject) => {
        setTimeout(() => reject(new Error('no end')), GIVE_UP_MS).unref();
        createConnections(() => {}).send(address, REQUEST, 4, {
          onHead: () => {},
          onData: (part) => {
            partCount += 1;
            bytes += part.length;
          },
          onEnd: () => resolve('end'),
          onError: (error) => resolve(error.kind),
        });
      });
      expect(reason).to.equal('lost');
      await closed;
      expect(bytes / partCount).to.be.greaterThan(MIN_PART_BYTES);
    });
  });

  // Guards against a client that keeps a response without end until its timeout or the end of the memory.
  const requests: [string, (address: string) => Promise<{ ok: boolean }>][] = [
    ['a report', (address) => createEngineControl().getReport({ id: 'i', address }, () => {})],
    [
      'a command',
      (address) =>
        createEngineControl().sendCommand({ id: 'i', address }, COMMAND, CONDITION, () => {}),
    ],
    [
      'a list of entries',
      (address) => createKeyValueClient(address, () => {}).list({ prefix: '', after: undefined }),
    ],
    [
      'changes',
      (address) =>
        createKeyValueClient(address, () => {}).follow({
          prefix: '',
          afterRevision: 1,
          waitMs: 500,
        }),
    ],
    [
      'a transaction',
      (address) =>
        createKeyValueClient(address, () => {}).transact({
          compare: [],
          writes: [],
          readOnFailure: [],
        }),
    ],
    ['a report of the own interface', (address) => createHttpEngineClient().getReport(address)],
    ['a call of the own interface', (address) => createHttpServiceClient().call(address, CALL)],
  ];
  const forms: [string, string, string][] = [
    ['a body without length', 'HTTP/1.1 200 OK\r\n\r\n', 'x'],
    ['chunks', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', '2\r\nxx\r\n'],
    ['the body of a failure', 'HTTP/1.1 500 Internal Server Error\r\n\r\n', 'x'],
    ['a chunk extension', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;', 'x'],
    ['trailers', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n', 'Name: x\r\n'],
    ...heads,
  ];
  requests.forEach(([request, send]) => {
    forms.forEach(([name, start, repeated]) => {
      it(`does not fill the memory: ${name} in response to ${request}`, async () => {
        const { address, closed } = await listen(start, repeated);
        expect((await send(address)).ok).to.equal(false);
        await closed;
        const readBytes = clientSockets.reduce((sum, socket) => sum + socket.bytesRead, 0);
        expect(readBytes).to.be.within(1, MAX_KEPT_BYTES + MAX_READ_AHEAD_BYTES);
      });
    });
  });

  // Guards against a client that keeps each chunk by itself, at many times its size, until its timeout.
  requests.forEach(([request, send]) => {
    it(`does not fill the heap: chunks of one byte in response to ${request}`, async () => {
      const head = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
      const { address, closed } = await listen(head, '1\r\nx\r\n');
      const start = process.memoryUsage().heapUsed;
      let highest = start;
      const sampler = setInterval(() => {
        highest = Math.max(highest, process.memoryUsage().heapUsed);
      }, 5);
      const results = await Promise.all(Array.from({ length: 4 }, () => send(address)));
      clearInterval(sampler);
      expect(results.filter(({ ok }) => ok)).to.deep.equal([]);
      await closed;
      expect(highest - start).to.be.lessThan(MAX_HEAP_GROWTH_BYTES);
    });
  });

  it('does not fill the memory: a body is forwarded as it comes, and cut at the deadline', async () => {
    const fixture = createTestAttempt({ kind: 'idempotent', isResumable: false });
    fixture.receive(200, MAX_READ_BYTES);
    expect(fixture.getForwardedBytes()).to.equal(MAX_READ_BYTES);
    await fixture.clock.advance(DEADLINE_MS);
    expect((await fixture.outcome).kind).to.equal('deadline');
    expect(fixture.isAborted()).to.equal(true);
  });

  it('does not fill the memory: the body of a failure is given up', async () => {
    const fixture = createTestAttempt({ kind: 'idempotent', isResumable: false });
    fixture.receive(500, MAX_READ_BYTES);
    expect((await fixture.outcome).kind).to.equal('lost');
    expect(fixture.isAborted()).to.equal(true);
    expect(fixture.getForwardedBytes()).to.equal(0);
  });

  it('does not fill the memory: an event of a resumable stream is given up', async () => {
    const fixture = createTestAttempt({ kind: 'stream', isResumable: true });
    fixture.receive(200, MAX_READ_BYTES);
    expect((await fixture.outcome).kind).to.equal('broken');
    expect(fixture.isAborted()).to.equal(true);
    expect(fixture.getForwardedBytes()).to.equal(0);
  });

  /** Starts a server that responds with `start` and then `repeated` until its peer closes. */
  async function listen(start: string, repeated: string) {
    const chunk = Buffer.from(repeated.repeat(Math.ceil(CHUNK_BYTES / repeated.length)));
    let writtenBytes = 0;
    let setClosed = () => {};
    const closed = new Promise<void>((resolve) => {
      setClosed = resolve;
    });
    const server = net.createServer((socket) => {
      const writeMore = () => {
        while (!socket.destroyed) {
          writtenBytes += chunk.length;
          if (!socket.write(chunk)) {
            return;
          }
        }
      };
      socket.on('error', () => {});
      socket.on('close', () => setClosed());
      socket.on('drain', writeMore);
      socket.once('data', () => {
        socket.write(start);
        writeMore();
      });
    });
    servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', () => resolve());
    });
    const { port } = server.address() as net.AddressInfo;
    return { address: `127.0.0.1:${port}`, getWrittenBytes: () => writtenBytes, closed };
  }
});

/** Creates an attempt whose upstream sends what `receive` says. */
function createTestAttempt(route: Pick<Route, 'kind' | 'isResumable'>) {
  const clock = createVirtualClock();
  let handler: ResponseHandler | undefined;
  let forwardedBytes = 0;
  let isAborted = false;
  const request = {
    route,
    callerRequest: { id: '1' },
    deadlineAt: clock.now() + DEADLINE_MS,
    isHeadWritten: false,
    longestPauseMs: 0,
    abort: () => {},
    response: {
      writeHead: () => {},
      write: (bytes: Buffer) => {
        forwardedBytes += bytes.length;
        return true;
      },
      end: () => {},
      abort: () => {},
      onDrain: () => {},
    },
  } as unknown as ActiveRequest;
  const outcome = sendAttempt(
    {
      ...clock,
      send: (_, responseHandler) => {
        handler = responseHandler;
        const abort = () => {
          isAborted = true;
        };
        return { abort, pause: () => {}, resume: () => {} };
      },
      decodeHead: (status) => ({
        status,
        headers: [],
        id: undefined,
        isNotRun: false,
        limit: { kind: 'none' },
        isLeaving: false,
        isBrittle: false,
        load: undefined,
        rest: { kind: 'none' },
      }),
      onHead: () => {},
      onFirstByte: () => {},
      onFirstEvent: () => {},
    },
    request,
    Infinity,
  );

  function receive(status: number, bytes: number): void {
    handler!.onHead(status, {});
    for (let sent = 0; sent < bytes && !isAborted; sent += CHUNK_BYTES) {
      handler!.onData(Buffer.alloc(CHUNK_BYTES, 'x'));
    }
  }

  return {
    clock,
    outcome,
    receive,
    getForwardedBytes: () => forwardedBytes,
    isAborted: () => isAborted,
  };
}
