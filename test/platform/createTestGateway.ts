import { createServer } from 'node:http';
import net from 'node:net';
import type { Server, ServerResponse } from 'node:http';
import createForwardCodec from '../../platform/createForwardCodec';
import createIngress from '../../platform/createIngress';
import decodeCallerRequest from '../../platform/decodeCallerRequest';
import decodeManifest from '../../platform/decodeManifest';
import decodeResponseHead from '../../platform/decodeResponseHead';
import encodeCallerRequest from '../../platform/encodeCallerRequest';
import type CallerRequest from '../../src/gateway/CallerRequest';
import type ResponseWriter from '../../src/gateway/ResponseWriter';
import createGateway from '../../src/gateway/createGateway';
import sendAttempt from '../../src/gateway/sendAttempt';
import createMetrics from '../../src/metrics/createMetrics';
import createIdentification from '../../src/organisations/createIdentification';
import createConnections from '../../src/upstream/createConnections';

const CLOCK = {
  now: () => performance.now(),
  setTimer: (delayMs: number, callback: () => void) => {
    const timer = setTimeout(callback, delayMs);
    return () => clearTimeout(timer);
  },
};
const ROUTE = { Host: 'h', Type: 'streaming', TimeoutMs: 2000, SloMs: 100, Backend: 's', Prio: 3 };
const LIMITS = {
  MaxHeaderBytes: 4000,
  MaxBodyBytes: 1000,
  HeaderTimeoutMs: 1000,
  IdleTimeoutMs: 1000,
};

/**
 * Creates a gateway between real sockets: callers send bytes, and an upstream records the headers that
 * arrive. Requests are forwarded once by the codec for other VMs if `isForwarding` is set.
 */
export default async function createTestGateway() {
  const state = {
    organisations: undefined as unknown[] | undefined,
    version: 0,
    unconfirmedMs: 0,
    isForwarding: false,
    /** Leaves the responses of the upstream open until `finish` is called. */
    isHolding: false,
  };
  const received: { path: string; rawHeaders: string[] }[] = [];
  const held: ServerResponse[] = [];
  const lines: string[] = [];
  const metrics = createMetrics();
  const codec = createForwardCodec('secret of the VMs');
  const connections = createConnections(() => {});
  const upstream = createServer((incoming, response) => {
    received.push({ path: incoming.url ?? '', rawHeaders: incoming.rawHeaders });
    response.writeHead(200, {
      'content-type': 'text/plain',
      'request-id': incoming.headers['request-id'],
    });
    response.write('begun ');
    if (state.isHolding) {
      held.push(response);
    } else {
      response.end('done');
    }
  });
  const upstreamPort = await listen(upstream);

  function getManifest() {
    return decodeManifest(
      JSON.stringify({
        Version: state.version,
        Routes: [
          { ...ROUTE, Name: 'closed', PathPrefix: '/' },
          { ...ROUTE, Name: 'open', PathPrefix: '/open/', Public: true },
        ],
        Services: [{ Name: 's' }],
        Tenants: state.organisations,
        Limits: LIMITS,
      }),
    );
  }

  const gateway = createGateway({
    ...CLOCK,
    ...createIdentification({
      getUnconfirmedMs: () => state.unconfirmedMs,
      getMaxUnconfirmedMs: () => 5000,
    }),
    getManifest,
    place: async () => ({
      ok: true,
      value: {
        upstream: {
          id: 'u',
          startedAt: 1,
          service: 's',
          address: `127.0.0.1:${upstreamPort}`,
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
    attempt: (request, placement) =>
      sendAttempt(
        {
          ...CLOCK,
          send: (deadlineMs, handler) =>
            connections.send(
              placement.upstream.address,
              encodeCallerRequest(request.callerRequest, {
                deadlineMs,
                upstream: 'u',
                version: undefined,
                urgency: request.route.urgency,
                resumeAfter: undefined,
              }),
              2,
              handler,
            ),
          decodeHead: decodeResponseHead,
          onHead: () => {},
          onFirstByte: () => {},
          onFirstEvent: () => {},
        },
        request,
        Infinity,
      ),
    isPartitioned: () => false,
    tryGetCarrier: (request) =>
      state.isForwarding && !request.callerRequest.forwarded ? 'carrier' : undefined,
    forward: (request, _, attempts) =>
      sendAttempt(
        {
          ...CLOCK,
          send: (deadlineMs, handler) =>
            connections.send(
              `127.0.0.1:${carrierPort}`,
              codec.encodeRequest({
                ...request.callerRequest,
                deadlineMs,
                forwarded: { attempts },
              }),
              2,
              handler,
            ),
          decodeHead: (status, headers) =>
            codec.decodeHead(request.callerRequest.id, status, headers),
          onHead: () => {},
          onFirstByte: () => {},
          onFirstEvent: () => {},
        },
        request,
        Infinity,
      ),
    tryGetLimit: () => undefined,
    acquireAllowance: () => undefined,
    tryGetOrigin: () => undefined,
    recordRequest: () => {},
    tryGetBlock: () => undefined,
    tryRetry: () => false,
    random: () => 0,
    log: (name, fields) => lines.push(JSON.stringify({ name, ...fields })),
    metrics,
  });
  const ingressHost = {
    ...CLOCK,
    handle: (request: CallerRequest, response: ResponseWriter) =>
      gateway.handle(CLOCK.now(), request, response),
    refuse: gateway.refuse,
    getLimits: () => getManifest()?.limits,
    isClosing: () => false,
  };
  const servers = [
    createIngress({ ...ingressHost, decodeRequest: decodeCallerRequest }).server,
    createIngress({ ...ingressHost, decodeRequest: codec.decodeRequest }).server,
  ];
  const [callerPort, carrierPort] = await Promise.all(servers.map(listen));

  /** Opens a connection; `send` sends bytes on it and returns those that arrive until one matches. */
  function connect(port = callerPort) {
    const socket = net.connect(port, '127.0.0.1');
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString();
    });
    const waitFor = async (pattern: RegExp) => {
      while (!pattern.test(text) && !socket.closed) {
        await new Promise((resolve) => {
          setTimeout(resolve, 2);
        });
      }
      const matched = text;
      text = '';
      return matched;
    };
    return {
      /** Sends a request and returns its response; header lines are sent as they are. */
      send: (
        path: string,
        headerLines: string[],
        pattern = /\r\n0\r\n\r\n$|"ran":"no"|400 Bad/,
      ) => {
        const head = [`GET ${path} HTTP/1.1`, 'Host: h', 'Request-Id: q1', ...headerLines];
        socket.write(`${head.join('\r\n')}\r\n\r\n`, 'latin1');
        return waitFor(pattern);
      },
      waitFor,
      close: () => socket.destroy(),
    };
  }

  return {
    state,
    connect,
    carrierPort,
    received,
    lines,
    metrics,
    finish: () => held.splice(0).forEach((response) => response.end('done')),
    close: () => {
      [upstream, ...servers].forEach((server) => {
        server.closeAllConnections();
        server.close();
      });
    },
  };
}

function listen(server: Server): Promise<number> {
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve((server.address() as net.AddressInfo).port));
  });
}
