import { expect } from 'chai';
import type ResponseHead from '../../src/gateway/ResponseHead';
import type AttemptOutcome from '../../src/gateway/AttemptOutcome';
import type ActiveRequest from '../../src/gateway/ActiveRequest';
import type Placement from '../../src/gateway/Placement';
import type ResponseWriter from '../../src/gateway/ResponseWriter';
import sendAttempt from '../../src/gateway/sendAttempt';
import serveRequest from '../../src/gateway/serveRequest';
import type Route from '../../src/manifest/Route';
import type ResponseHandler from '../../src/upstream/ResponseHandler';
import createVirtualClock from '../scenario/createVirtualClock';

/** How the fake upstream handles a request. */
type UpstreamBehavior =
  | { kind: 'response'; status: number; body: string; contentType?: string }
  | { kind: 'notRun'; status: number }
  | { kind: 'refusalWithoutId'; isReused: boolean }
  | { kind: 'refuseConnection' }
  | { kind: 'reset' }
  | { kind: 'otherResponse' }
  | { kind: 'events'; from: number; to: number; isBroken: boolean }
  | { kind: 'silence' }
  | { kind: 'noTurn' };

describe('serveRequest', () => {
  (['nonIdempotent', 'stream'] as const).forEach((kind) => {
    it(`sends a request of kind ${kind} only once if it may have run`, async () => {
      const fixture = createTestRequest({ kind }, [{ kind: 'reset' }, createResponse(200)]);
      await fixture.run();
      expect(fixture.getSentCount()).to.equal(1);
      expect(fixture.response.status).to.equal(502);
    });
  });

  it('sends a non-idempotent request to another upstream if it has not run', async () => {
    const behaviors: UpstreamBehavior[] = [
      { kind: 'refuseConnection' },
      { kind: 'notRun', status: 503 },
      createResponse(200),
    ];
    const fixture = createTestRequest({ kind: 'nonIdempotent', attempts: 1 }, behaviors);
    await fixture.run();
    expect(fixture.response.status).to.equal(200);
    expect(fixture.response.body).to.equal('ok');
  });

  it('refuses a request with a retry-after if no upstream runs it', async () => {
    const notRun: UpstreamBehavior = { kind: 'notRun', status: 503 };
    const fixture = createTestRequest({ kind: 'nonIdempotent' }, [
      notRun,
      notRun,
      notRun,
      notRun,
      notRun,
    ]);
    await fixture.run();
    expect(fixture.response.status).to.equal(503);
    expect(Number(fixture.response.headers.get('retry-after'))).to.be.greaterThan(0);
  });

  it('tries an engine that is available immediately after another granted no prefill', async () => {
    const fixture = createTestRequest({ kind: 'stream' }, [
      { kind: 'noTurn' },
      { kind: 'events', from: 1, to: 2, isBroken: false },
    ]);
    await fixture.run();
    expect(fixture.response.status).to.equal(200);
    expect(fixture.placements).to.deep.equal([
      { excluded: [], isImmediate: false },
      { excluded: ['u0'], isImmediate: true },
    ]);
  });

  it('immediately refuses a request with a retry-after if no engine grants a prefill', async () => {
    const fixture = createTestRequest({ kind: 'stream' }, [{ kind: 'noTurn' }]);
    await fixture.run();
    expect(fixture.getSentCount()).to.equal(0);
    expect(fixture.response.status).to.equal(503);
    expect(Number(fixture.response.headers.get('retry-after'))).to.be.greaterThan(0);
  });

  it('retries a failed idempotent request on a second upstream, but not on a third', async () => {
    const failed = createResponse(500);
    const fixture = createTestRequest({ kind: 'idempotent', attempts: 2 }, [
      failed,
      failed,
      createResponse(200),
    ]);
    await fixture.run();
    expect(fixture.getSentCount()).to.equal(2);
    expect(fixture.response.status).to.equal(500);
  });

  it('does not retry an idempotent request if the retry budget is used up', async () => {
    const behaviors: UpstreamBehavior[] = [{ kind: 'reset' }, createResponse(200)];
    const fixture = createTestRequest({ kind: 'idempotent', attempts: 2 }, behaviors, false);
    await fixture.run();
    expect(fixture.getSentCount()).to.equal(1);
  });

  it('never forwards the response to another request to the caller', async () => {
    const fixture = createTestRequest({ kind: 'nonIdempotent' }, [{ kind: 'otherResponse' }]);
    await fixture.run();
    expect(fixture.response.status).to.equal(502);
    expect(fixture.response.body).not.to.contain('secret');
  });

  it('takes no refusal of an unnamed request on a kept connection for its own', async () => {
    const fixture = createTestRequest({ kind: 'nonIdempotent' }, [
      { kind: 'refusalWithoutId', isReused: true },
      createResponse(200),
    ]);
    await fixture.run();
    expect(fixture.getSentCount()).to.equal(1);
    expect(fixture.response.status).to.equal(502);
  });

  it('takes the first response on a connection for its own, also without an id', async () => {
    const fixture = createTestRequest({ kind: 'nonIdempotent' }, [
      { kind: 'refusalWithoutId', isReused: false },
      createResponse(200),
    ]);
    await fixture.run();
    expect(fixture.response.status).to.equal(200);
  });

  it('resumes a broken resumable stream elsewhere without missing or repeated events', async () => {
    const fixture = createTestRequest({ kind: 'stream', isResumable: true, attempts: 2 }, [
      { kind: 'events', from: 1, to: 3, isBroken: true },
      { kind: 'events', from: 3, to: 6, isBroken: false },
    ]);
    await fixture.run();
    const ids = [...fixture.response.body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    expect(ids).to.deep.equal([1, 2, 3, 4, 5, 6]);
    expect(fixture.response.isEnded).to.equal(true);
  });

  (
    [
      { kind: 'response', status: 500, body: 'failed' },
      { kind: 'response', status: 404, body: '' },
      { kind: 'response', status: 200, body: 'failed', contentType: 'text/plain' },
      { kind: 'response', status: 200, body: '', contentType: 'application/json' },
      { kind: 'response', status: 204, body: '' },
      {
        kind: 'response',
        status: 200,
        body: 'HTTP/1.1 500 Failed\r\nRequest-Id: q1\r\n\r\nfailed',
      },
      { kind: 'response', status: 200, body: 'data: failed\n\n', contentType: 'text/event-stream' },
    ] satisfies UpstreamBehavior[]
  ).forEach((failure) => {
    it(`writes nothing of ${JSON.stringify(failure)} into a stream that has begun`, async () => {
      const fixture = createTestRequest({ kind: 'stream', isResumable: true, attempts: 2 }, [
        { kind: 'events', from: 1, to: 3, isBroken: true },
        failure,
      ]);
      await fixture.run();
      expect(fixture.response.body).to.equal(
        'id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n',
      );
      expect(fixture.response.isEnded).to.equal(false);
      expect(fixture.response.isAborted).to.equal(true);
    });
  });

  it('aborts a broken stream that is not resumable instead of ending it', async () => {
    const fixture = createTestRequest({ kind: 'stream', attempts: 2 }, [
      { kind: 'events', from: 1, to: 3, isBroken: true },
      { kind: 'events', from: 3, to: 6, isBroken: false },
    ]);
    await fixture.run();
    expect(fixture.getSentCount()).to.equal(1);
    expect(fixture.response.isAborted).to.equal(true);
    expect(fixture.response.isEnded).to.equal(false);
  });

  it('responds at the timeout and aborts the request to an upstream that is silent', async () => {
    const fixture = createTestRequest({ kind: 'nonIdempotent', timeoutMs: 500 }, [
      { kind: 'silence' },
    ]);
    await fixture.run();
    expect(fixture.response.status).to.equal(504);
    expect(fixture.getAbortCount()).to.equal(1);
  });

  it('aborts the upstream request immediately if the caller disconnects', async () => {
    const fixture = createTestRequest({ kind: 'stream' }, [{ kind: 'silence' }]);
    const done = fixture.run(100);
    await fixture.clock.advance(50);
    fixture.disconnectCaller();
    await done;
    expect(fixture.getAbortCount()).to.equal(1);
    expect(fixture.response.status).to.equal(0);
  });
});

function createResponse(status: number): UpstreamBehavior {
  return { kind: 'response', status, body: 'ok' };
}

function createTestRequest(
  overrides: Partial<Route>,
  behaviors: UpstreamBehavior[],
  hasRetryBudget = true,
) {
  const clock = createVirtualClock();
  const route: Route = {
    name: 'r',
    host: 'h',
    pathPrefix: '/',
    kind: 'idempotent',
    timeoutMs: 2000,
    latencyObjectiveMs: 100,
    pauseObjectiveMs: undefined,
    attempts: 1,
    urgency: 0,
    isResumable: false,
    targets: [{ service: 's', weight: 1 }],
    ...overrides,
  };
  const writtenResponse = {
    status: 0,
    headers: new Map<string, string>(),
    body: '',
    isEnded: false,
    isAborted: false,
  };
  const response: ResponseWriter = {
    writeHead: (status, headers) => {
      writtenResponse.status = status;
      writtenResponse.headers = new Map(headers);
    },
    write: (chunk) => {
      writtenResponse.body += chunk.toString();
      return true;
    },
    end: (body) => {
      writtenResponse.body += body?.toString() ?? '';
      writtenResponse.isEnded = true;
    },
    abort: () => {
      writtenResponse.isAborted = true;
    },
    onDrain: () => {},
  };
  const request: ActiveRequest = {
    callerRequest: {
      id: 'q1',
      method: 'POST',
      path: '/x',
      host: 'h',
      caller: undefined,
      headers: [],
      deadlineMs: undefined,
      model: undefined,
      adapter: undefined,
      promptTokens: 0,
      outputTokens: 0,
      sharedPromptParts: [],
      resumeAfter: undefined,
      resumedRequest: undefined,
      body: Buffer.alloc(0),
    },
    route,
    service: 's',
    softwareVersion: undefined,
    response,
    arrivedAt: clock.now(),
    deadlineAt: clock.now() + route.timeoutMs,
    isHeadWritten: false,
    lastEventId: undefined,
    framing: undefined,
    partialEventBytes: 0,
    firstByteAt: undefined,
    lastByteAt: undefined,
    prefillWaitMs: 0,
    longestPauseMs: 0,
    isCallerGone: false,
    abort: () => {},
  };
  let sentCount = 0;
  let abortCount = 0;
  let attemptCount = 0;
  const placements: { excluded: string[]; isImmediate: boolean }[] = [];

  function denyPrefill(): AttemptOutcome {
    attemptCount += 1;
    return { kind: 'notSent', reason: 'noTurn' };
  }

  function respond(handler: ResponseHandler): void {
    const behavior = behaviors[attemptCount];
    attemptCount += 1;
    if (behavior.kind !== 'refuseConnection') {
      sentCount += 1;
    }
    switch (behavior.kind) {
      case 'response':
      case 'notRun':
        handler.onHead(behavior.status, {
          id: 'q1',
          ran: behavior.kind === 'notRun' ? 'no' : 'yes',
          'content-type': 'contentType' in behavior ? behavior.contentType : undefined,
        });
        handler.onData(Buffer.from(behavior.kind === 'response' ? behavior.body : ''));
        handler.onEnd();
        break;
      case 'refuseConnection':
        handler.onError({ kind: 'notSent', reason: 'ECONNREFUSED' });
        break;
      case 'reset':
        handler.onError({ kind: 'lost', reason: 'ECONNRESET' });
        break;
      case 'otherResponse':
        handler.onHead(200, { id: 'q0' });
        handler.onData(Buffer.from('secret'));
        handler.onEnd();
        break;
      case 'refusalWithoutId':
        handler.onHead(503, { ran: 'no' }, behavior.isReused);
        handler.onEnd();
        break;
      case 'events':
        handler.onHead(200, { id: 'q1' });
        for (let id = behavior.from; id <= behavior.to; id += 1) {
          handler.onData(Buffer.from(`id: ${id}\ndata: x`));
          handler.onData(Buffer.from('\n\n'));
        }
        if (behavior.isBroken) {
          handler.onData(Buffer.from(`id: ${behavior.to + 1}\nda`));
          handler.onError({ kind: 'lost', reason: 'ECONNRESET' });
        } else {
          handler.onEnd();
        }
        break;
      default:
    }
  }

  async function run(forMs = 5000): Promise<void> {
    const ended = serveRequest(
      {
        now: clock.now,
        random: () => 0,
        place: async (_, excluded, isImmediate) => {
          placements.push({ excluded: [...excluded], isImmediate });
          return isImmediate && placements.length > behaviors.length
            ? { ok: false, error: { kind: 'busy', retryAfterMs: 400 } }
            : { ok: true, value: createPlacement(`u${attemptCount}`) };
        },
        attempt: async () =>
          behaviors[attemptCount].kind === 'noTurn'
            ? denyPrefill()
            : sendAttempt(
                {
                  ...clock,
                  send: (_, handler) => {
                    clock.setTimer(5, () => respond(handler));
                    return {
                      abort: () => {
                        abortCount += 1;
                      },
                      pause: () => {},
                      resume: () => {},
                    };
                  },
                  decodeHead: (status, headers): ResponseHead => ({
                    status,
                    headers: [],
                    id: headers.id as string,
                    isNotRun: headers.ran === 'no',
                    limit: { kind: 'none' },
                  }),
                  onHead: () => {},
                  onFirstByte: () => {},
                  onFirstEvent: () => {},
                },
                request,
                Infinity,
              ),
        tryGetBlock: () => undefined,
        tryRetry: () => hasRetryBudget,
        countRetry: () => {},
        log: () => {},
      },
      request,
    );
    await clock.advance(forMs);
    await ended;
  }

  return {
    clock,
    run,
    response: writtenResponse,
    placements,
    getSentCount: () => sentCount,
    getAbortCount: () => abortCount,
    disconnectCaller: () => {
      request.isCallerGone = true;
      request.abort();
    },
  };
}

function createPlacement(id: string): Placement {
  const upstream = {
    id,
    startedAt: 1,
    service: 's',
    softwareVersion: undefined,
    address: '127.0.0.1:1',
    dataCentre: 'x',
    state: 'ready' as const,
    slots: 1,
    models: [],
  };
  return { upstream, version: undefined, inFlight: 0 };
}
