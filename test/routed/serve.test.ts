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

/** What an upstream does with a request. */
type Act =
  | { kind: 'answer'; status: number; body: string }
  | { kind: 'notRun'; status: number }
  | { kind: 'refuseConnection' }
  | { kind: 'reset' }
  | { kind: 'otherAnswer' }
  | { kind: 'events'; from: number; to: number; breaks: boolean }
  | { kind: 'silence' }
  | { kind: 'noTurn' };

describe('a request with', () => {
  (['nonIdempotent', 'stream'] as const).forEach((kind) => {
    it(`kind ${kind} is sent once where it may have run`, async () => {
      const trial = createTrial({ kind }, [{ kind: 'reset' }, answer(200)]);
      await trial.run();
      expect(trial.sent()).to.equal(1);
      expect(trial.reply.status).to.equal(502);
    });
  });

  it('kind nonIdempotent goes elsewhere where it has not run', async () => {
    const acts: Act[] = [
      { kind: 'refuseConnection' },
      { kind: 'notRun', status: 503 },
      answer(200),
    ];
    const trial = createTrial({ kind: 'nonIdempotent', attempts: 1 }, acts);
    await trial.run();
    expect(trial.reply.status).to.equal(200);
    expect(trial.reply.body).to.equal('ok');
  });

  it('no upstream that runs it is refused as not run, with a time to come back', async () => {
    const full: Act = { kind: 'notRun', status: 503 };
    const trial = createTrial({ kind: 'nonIdempotent' }, [full, full, full, full, full]);
    await trial.run();
    expect(trial.reply.status).to.equal(503);
    expect(Number(trial.reply.headers.get('retry-after'))).to.be.greaterThan(0);
  });

  it('no turn at one engine is sent to another that can be had at once', async () => {
    const trial = createTrial({ kind: 'stream' }, [{ kind: 'noTurn' }, answer(200)]);
    await trial.run();
    expect(trial.reply.status).to.equal(200);
    expect(trial.placed).to.deep.equal([
      { avoid: [], isAtOnce: false },
      { avoid: ['u0'], isAtOnce: true },
    ]);
  });

  it('no turn at any engine is refused at once, with a time to come back', async () => {
    const trial = createTrial({ kind: 'stream' }, [{ kind: 'noTurn' }]);
    await trial.run();
    expect(trial.sent()).to.equal(0);
    expect(trial.reply.status).to.equal(503);
    expect(Number(trial.reply.headers.get('retry-after'))).to.be.greaterThan(0);
  });

  it('kind idempotent is tried on a second upstream after a failure, not on a third', async () => {
    const failed = answer(500);
    const trial = createTrial({ kind: 'idempotent', attempts: 2 }, [failed, failed, answer(200)]);
    await trial.run();
    expect(trial.sent()).to.equal(2);
    expect(trial.reply.status).to.equal(500);
  });

  it('kind idempotent is not repeated when the shared budget is used up', async () => {
    const acts: Act[] = [{ kind: 'reset' }, answer(200)];
    const trial = createTrial({ kind: 'idempotent', attempts: 2 }, acts, false);
    await trial.run();
    expect(trial.sent()).to.equal(1);
  });

  it('an answer to another request never shows it to the caller', async () => {
    const trial = createTrial({ kind: 'nonIdempotent' }, [{ kind: 'otherAnswer' }]);
    await trial.run();
    expect(trial.reply.status).to.equal(502);
    expect(trial.reply.body).not.to.contain('secret');
  });

  it('a broken stream that may be resumed goes on elsewhere without a gap or a repeat', async () => {
    const trial = createTrial({ kind: 'stream', isResumable: true, attempts: 2 }, [
      { kind: 'events', from: 1, to: 3, breaks: true },
      { kind: 'events', from: 3, to: 6, breaks: false },
    ]);
    await trial.run();
    const ids = [...trial.reply.body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    expect(ids).to.deep.equal([1, 2, 3, 4, 5, 6]);
    expect(trial.reply.isEnded).to.equal(true);
  });

  it('a broken stream that may not be resumed is cut, not ended', async () => {
    const trial = createTrial({ kind: 'stream', attempts: 2 }, [
      { kind: 'events', from: 1, to: 3, breaks: true },
      { kind: 'events', from: 3, to: 6, breaks: false },
    ]);
    await trial.run();
    expect(trial.sent()).to.equal(1);
    expect(trial.reply.isCut).to.equal(true);
    expect(trial.reply.isEnded).to.equal(false);
  });

  it('a silent upstream is answered at its timeout, and the upstream is let go', async () => {
    const trial = createTrial({ kind: 'nonIdempotent', timeoutMs: 500 }, [{ kind: 'silence' }]);
    await trial.run();
    expect(trial.reply.status).to.equal(504);
    expect(trial.aborted()).to.equal(1);
  });

  it('a caller that leaves lets the upstream go at once', async () => {
    const trial = createTrial({ kind: 'stream' }, [{ kind: 'silence' }]);
    const done = trial.run(100);
    await trial.time.advance(50);
    trial.leave();
    await done;
    expect(trial.aborted()).to.equal(1);
    expect(trial.reply.status).to.equal(0);
  });
});

function answer(status: number): Act {
  return { kind: 'answer', status, body: 'ok' };
}

function createTrial(change: Partial<Route>, acts: Act[], hasBudget = true) {
  const time = createVirtualClock();
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
    ...change,
  };
  const written = {
    status: 0,
    headers: new Map<string, string>(),
    body: '',
    isEnded: false,
    isCut: false,
  };
  const reply: ResponseWriter = {
    writeHead: (status, headers) => {
      written.status = status;
      written.headers = new Map(headers);
    },
    write: (chunk) => {
      written.body += chunk.toString();
      return true;
    },
    end: (body) => {
      written.body += body?.toString() ?? '';
      written.isEnded = true;
    },
    abort: () => {
      written.isCut = true;
    },
    onDrain: () => {},
  };
  const job: ActiveRequest = {
    callerRequest: {
      id: 'q1',
      method: 'POST',
      path: '/x',
      host: 'h',
      headers: [],
      deadlineMs: undefined,
      model: undefined,
      adapter: undefined,
      promptTokens: 0,
      outputTokens: 0,
      resumeAfter: undefined,
      body: Buffer.alloc(0),
    },
    route,
    service: 's',
    response: reply,
    arrivedAt: time.now(),
    deadlineAt: time.now() + route.timeoutMs,
    isHeadWritten: false,
    lastEventId: undefined,
    firstByteAt: undefined,
    lastByteAt: undefined,
    prefillWaitMs: 0,
    longestPauseMs: 0,
    isCallerGone: false,
    abort: () => {},
  };
  let sent = 0;
  let aborted = 0;
  let tried = 0;
  const placed: { avoid: string[]; isAtOnce: boolean }[] = [];

  function refuseTurn(): AttemptOutcome {
    tried += 1;
    return { kind: 'notSent', reason: 'noTurn' };
  }

  function act(exchange: ResponseHandler): void {
    const next = acts[tried];
    tried += 1;
    if (next.kind !== 'refuseConnection') {
      sent += 1;
    }
    switch (next.kind) {
      case 'answer':
      case 'notRun':
        exchange.onHead(next.status, { id: 'q1', ran: next.kind === 'notRun' ? 'no' : 'yes' });
        exchange.onData(Buffer.from(next.kind === 'answer' ? next.body : ''));
        exchange.onEnd();
        break;
      case 'refuseConnection':
        exchange.onError({ kind: 'notSent', reason: 'ECONNREFUSED' });
        break;
      case 'reset':
        exchange.onError({ kind: 'lost', reason: 'ECONNRESET' });
        break;
      case 'otherAnswer':
        exchange.onHead(200, { id: 'q0' });
        exchange.onData(Buffer.from('secret'));
        exchange.onEnd();
        break;
      case 'events':
        exchange.onHead(200, { id: 'q1' });
        for (let id = next.from; id <= next.to; id += 1) {
          exchange.onData(Buffer.from(`id: ${id}\ndata: x`));
          exchange.onData(Buffer.from('\n\n'));
        }
        if (next.breaks) {
          exchange.onData(Buffer.from(`id: ${next.to + 1}\nda`));
          exchange.onError({ kind: 'lost', reason: 'ECONNRESET' });
        } else {
          exchange.onEnd();
        }
        break;
      default:
    }
  }

  async function run(forMs = 5000): Promise<void> {
    const ended = serveRequest(
      {
        now: time.now,
        random: () => 0,
        place: async (_, avoid, isAtOnce) => {
          placed.push({ avoid: [...avoid], isAtOnce });
          return isAtOnce && placed.length > acts.length
            ? { ok: false, error: { kind: 'busy', retryAfterMs: 400 } }
            : { ok: true, value: createPlace(`u${tried}`) };
        },
        attempt: async () =>
          acts[tried].kind === 'noTurn'
            ? refuseTurn()
            : sendAttempt(
                {
                  ...time,
                  send: (_, exchange) => {
                    time.setTimer(5, () => act(exchange));
                    return {
                      abort: () => {
                        aborted += 1;
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
                  }),
                  onFirstByte: () => {},
                },
                job,
                Infinity,
              ),
        tryRetry: () => hasBudget,
        countRetry: () => {},
        log: () => {},
      },
      job,
    );
    await time.advance(forMs);
    await ended;
  }

  return {
    time,
    run,
    reply: written,
    placed,
    sent: () => sent,
    aborted: () => aborted,
    leave: () => {
      job.isCallerGone = true;
      job.abort();
    },
  };
}

function createPlace(id: string): Placement {
  const upstream = {
    id,
    startedAt: 1,
    service: 's',
    address: '127.0.0.1:1',
    dataCentre: 'x',
    state: 'ready' as const,
    slots: 1,
    models: [],
  };
  return { upstream, version: undefined, inFlight: 0 };
}
