import net from 'node:net';
import { expect } from 'chai';
import createIngress from '../../platform/createIngress';
import decodeResponseHead from '../../platform/decodeResponseHead';
import decodeCallerRequest from '../../platform/decodeCallerRequest';
import encodeCallerRequest from '../../platform/encodeCallerRequest';
import createGateway from '../../src/gateway/createGateway';
import sendAttempt from '../../src/gateway/sendAttempt';
import type Route from '../../src/manifest/Route';
import createMetrics from '../../src/metrics/createMetrics';
import createIdentification from '../../src/organisations/createIdentification';
import createConnections from '../../src/upstream/createConnections';
import createHttpServiceClient from '../../src/upstream/createHttpServiceClient';

type Ending = 'close' | 'reset';

/** Bytes of one response of an upstream, and how its connection then ends. */
interface UpstreamResponse {
  head: string;
  body: string;
  ending: Ending;
}

const UNFRAMED = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n';
const CHUNKED =
  'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n';
const RESET_DELAY_MS = 20;
const EVENTS = [1, 2, 3, 4].map((id) => `id: ${id}\ndata: part ${id}\n\n`);
const CLOCK = {
  now: () => performance.now(),
  setTimer: (delayMs: number, callback: () => void) => {
    const timer = setTimeout(callback, delayMs);
    return () => clearTimeout(timer);
  },
};

describe('a response that an upstream breaks off', () => {
  let closers: (() => void)[] = [];

  afterEach(() => {
    closers.forEach((close) => close());
    closers = [];
  });

  const truncations: [string, UpstreamResponse][] = [
    [
      'inside an event, without length or chunks',
      { head: UNFRAMED, body: `${EVENTS[0]}id: 2\nda`, ending: 'close' },
    ],
    [
      'before the blank line of an event, without length or chunks',
      { head: UNFRAMED, body: `${EVENTS[0]}id: 2\ndata: part 2\n`, ending: 'close' },
    ],
    [
      'inside its first event, without length or chunks',
      { head: UNFRAMED, body: 'id: 1\ndata', ending: 'close' },
    ],
    [
      'inside an event, after a proper last chunk',
      { head: CHUNKED, body: `${toChunk(`${EVENTS[0]}id: 2\nda`)}0\r\n\r\n`, ending: 'close' },
    ],
    [
      'before its first event, without length or chunks',
      { head: UNFRAMED, body: '', ending: 'close' },
    ],
    ['inside a chunk', { head: CHUNKED, body: toChunk(EVENTS[0]).slice(0, -4), ending: 'close' }],
    ['between chunks', { head: CHUNKED, body: toChunk(EVENTS[0]), ending: 'close' }],
    ['by a reset, without length or chunks', { head: UNFRAMED, body: EVENTS[0], ending: 'reset' }],
  ];
  truncations.forEach(([name, response]) => {
    it(`does not reach its caller as a complete stream: ${name}`, async () => {
      const seen = await serve({ kind: 'stream' }, [response]);
      expect(seen.isComplete && seen.status === 200).to.equal(false);
    });

    it(`is resumed at another upstream where the route allows it: ${name}`, async () => {
      const route = { kind: 'stream', isResumable: true, attempts: 2 } as const;
      const seen = await serve(route, [response, WHOLE_STREAM]);
      expect(seen.isComplete).to.equal(true);
      expect(seen.body).to.equal(EVENTS.join(''));
    });
  });

  it('does not reach a caller of HTTP/1.0 as complete, who knows only the end of its connection', async () => {
    const [[, response]] = truncations;
    const seen = await serve({ kind: 'stream' }, [response], '1.0');
    expect(seen.isComplete).to.equal(false);
  });

  (['idempotent', 'nonIdempotent'] as const).forEach((kind) => {
    it(`does not reach its caller as a success inside a body: ${kind}`, async () => {
      const head = 'HTTP/1.1 200 OK\r\n\r\n';
      const seen = await serve({ kind }, [{ head, body: '{"id":', ending: 'reset' }]);
      expect(seen.status).to.equal(502);
    });
  });

  it('does not count as a success of a plain service of the own interface', async () => {
    const address = await listen({ head: 'HTTP/1.1 200 OK\r\n\r\n', body: 'ha', ending: 'reset' });
    const request = { id: '1', method: 'GET', path: '/', contentType: 'text/plain', body: '' };
    const result = await createHttpServiceClient().call(address, { ...request, timeoutMs: 1000 });
    expect(result.ok).to.equal(false);
  });

  it('is not confused with a whole stream that ends with its connection', async () => {
    const seen = await serve({ kind: 'stream' }, [WHOLE_STREAM]);
    expect(seen).to.deep.equal({ status: 200, isComplete: true, body: EVENTS.join('') });
  });

  it('is not confused with a whole stream whose last event is followed by more line ends', async () => {
    const body = `${EVENTS.join('')}\n: end\n\r\n`;
    const seen = await serve({ kind: 'stream' }, [{ ...WHOLE_STREAM, body }]);
    expect(seen).to.deep.equal({ status: 200, isComplete: true, body });
  });

  // Guards against a response without a body that is taken for a stream without its first event.
  ['204 No Content', '204 No Content\r\nContent-Type: text/event-stream'].forEach((head) => {
    it(`is not confused with a response that has no body: ${head.replace('\r\n', ', ')}`, async () => {
      const response: UpstreamResponse = {
        head: `HTTP/1.1 ${head}\r\n\r\n`,
        body: '',
        ending: 'close',
      };
      const seen = await serve({ kind: 'stream' }, [response]);
      expect(seen).to.deep.equal({ status: 204, isComplete: true, body: '' });
    });
  });

  it('is not confused with a whole body of another type on the route of a stream', async () => {
    const head = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n';
    const seen = await serve({ kind: 'stream' }, [{ head, body: '{"id":1}', ending: 'close' }]);
    expect(seen).to.deep.equal({ status: 200, isComplete: true, body: '{"id":1}' });
  });

  it('is not confused with a whole body that ends with its connection', async () => {
    const response: UpstreamResponse = { ...WHOLE_STREAM, body: '{"id":1}' };
    const seen = await serve({ kind: 'idempotent' }, [response]);
    expect(seen).to.deep.equal({ status: 200, isComplete: true, body: '{"id":1}' });
  });

  /** Starts an upstream that sends one response on each connection; resolves to its address. */
  async function listen({ head, body, ending }: UpstreamResponse): Promise<string> {
    const server = net.createServer((socket) => {
      socket.on('error', () => {});
      socket.once('data', () => {
        socket.write(head + body);
        if (ending === 'close') {
          socket.end();
        } else {
          setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
        }
      });
    });
    closers.push(() => server.close());
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', () => resolve());
    });
    return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  }

  /** Sends one request through an entry VM's ingress and gateway to upstreams on real sockets. */
  async function serve(
    route: Partial<Route>,
    responses: UpstreamResponse[],
    httpVersion: '1.0' | '1.1' = '1.1',
  ) {
    const addresses = await Promise.all(responses.map(listen));
    let attemptCount = 0;
    const connections = createConnections(() => {});
    const limits = {
      maxHeaderBytes: 2000,
      maxBodyBytes: 2000,
      headerTimeoutMs: 1000,
      idleTimeoutMs: 1000,
    };
    const gateway = createGateway({
      ...CLOCK,
      ...createIdentification({ getUnconfirmedMs: () => 0, getMaxUnconfirmedMs: () => Infinity }),
      getManifest: () => ({
        version: 1,
        routes: [
          {
            name: 'r',
            host: 'h',
            pathPrefix: '/',
            kind: 'stream',
            timeoutMs: 2000,
            latencyObjectiveMs: 100,
            pauseObjectiveMs: undefined,
            attempts: 1,
            urgency: 0,
            isResumable: false,
            isPublic: false,
            targets: [{ service: 's', weight: 1 }],
            ...route,
          },
        ],
        services: new Map(),
        organisations: undefined,
        limits,
      }),
      acquireAllowance: () => undefined,
      place: async () => ({
        ok: true,
        value: {
          upstream: {
            id: 'u',
            startedAt: 1,
            service: 's',
            address: addresses[attemptCount],
            dataCentre: 'x',
            state: 'ready',
            slots: 1,
            softwareVersion: undefined,
            models: [],
          },
          version: undefined,
          inFlight: 0,
        },
      }),
      attempt: (request, { upstream }) => {
        attemptCount += 1;
        return sendAttempt(
          {
            ...CLOCK,
            onHead: () => {},
            send: (deadlineMs, handler) =>
              connections.send(
                upstream.address,
                encodeCallerRequest(request.callerRequest, {
                  deadlineMs,
                  upstream: 'u',
                  version: undefined,
                  urgency: undefined,
                  resumeAfter: undefined,
                }),
                2,
                handler,
              ),
            decodeHead: decodeResponseHead,
            onFirstByte: () => {},
            onFirstEvent: () => {},
          },
          request,
          Infinity,
        );
      },
      isPartitioned: () => false,
      tryGetCarrier: () => undefined,
      forward: async () => ({ kind: 'notSent', reason: 'carrier' }),
      tryGetLimit: () => undefined,
      tryGetOrigin: () => undefined,
      recordRequest: () => {},
      tryGetBlock: () => undefined,
      tryRetry: () => true,
      random: () => 0,
      log: () => {},
      metrics: createMetrics(),
    });
    const { server } = createIngress({
      decodeRequest: decodeCallerRequest,
      ...CLOCK,
      handle: (callerRequest, response) =>
        gateway.handle(performance.now(), callerRequest, response),
      refuse: gateway.refuse,
      getLimits: () => limits,
      isClosing: () => false,
    });
    closers.push(() => {
      server.closeAllConnections();
      server.close();
      connections.close();
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return call((server.address() as net.AddressInfo).port, httpVersion);
  }
});

const WHOLE_STREAM: UpstreamResponse = { head: UNFRAMED, body: EVENTS.join(''), ending: 'close' };

function toChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Decodes a chunked body, which is complete if it ends with an empty chunk. */
function decodeChunks(framed: string): { isComplete: boolean; body: string } {
  let body = '';
  let rest = framed;
  for (;;) {
    const [sizeLine] = rest.split('\r\n', 1);
    const size = parseInt(sizeLine, 16);
    if (!(size > 0)) {
      return { isComplete: rest === '0\r\n\r\n', body };
    }
    const start = sizeLine.length + 2;
    body += rest.slice(start, start + size);
    rest = rest.slice(start + size + 2);
  }
}

/** Sends one request and reads the response until the connection ends. */
function call(port: number, httpVersion: '1.0' | '1.1') {
  return new Promise<{ status: number; isComplete: boolean; body: string }>((resolve) => {
    const socket = net.connect(port, '127.0.0.1');
    let text = '';
    let isReset = false;
    socket.write(
      `POST /x HTTP/${httpVersion}\r\nHost: h\r\nRequest-Id: q1\r\nConnection: close\r\n\r\n`,
    );
    socket.on('data', (chunk) => {
      text += chunk.toString();
    });
    socket.on('error', () => {
      isReset = true;
    });
    socket.on('close', () => {
      const [head, ...rest] = text.split('\r\n\r\n');
      const framed = rest.join('\r\n\r\n');
      const isChunked = /transfer-encoding: chunked/i.test(head);
      resolve({
        status: Number(head.split(' ')[1]),
        ...(isChunked
          ? decodeChunks(framed)
          : { isComplete: !isReset && head !== '', body: framed }),
      });
    });
  });
}
