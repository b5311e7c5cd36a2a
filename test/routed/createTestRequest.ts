import type Grant from '../../src/allowances/Grant';
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
import type UpstreamBehavior from './UpstreamBehavior';

/** Creates a request that fake upstreams serve in turn, one for each attempt. */
export default function createTestRequest(
  overrides: Partial<Route>,
  behaviors: UpstreamBehavior[],
  hasRetryBudget = true,
  /** Outcomes of the attempts that other VMs carry; undefined where this VM makes the attempt. */
  carried: (AttemptOutcome | undefined)[] = [],
  acquireAllowance: (request: ActiveRequest) => Promise<Grant> | undefined = () => undefined,
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
    isPublic: false,
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
    loadWaitMs: 0,
    prefillWaitMs: 0,
    longestPauseMs: 0,
    isBegunElsewhere: false,
    isCallerGone: false,
    isStopped: false,
    abort: () => {},
    giveUp: () => {},
  };
  let sentCount = 0;
  let abortCount = 0;
  let attemptCount = 0;
  let targetCount = 0;
  const forwards: { vm: string; attempts: number }[] = [];
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
      case 'brokenRejection':
        handler.onHead(503, { id: 'q1', ran: 'no' });
        handler.onData(Buffer.from('fu'));
        handler.onError({ kind: 'lost', reason: 'ECONNRESET' });
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
              ),
        tryGetBlock: () => undefined,
        tryGetCarrier: () => {
          const outcome = carried[targetCount];
          targetCount += 1;
          return outcome && `vm${forwards.length + 1}`;
        },
        forward: async (_, vm, attempts) => {
          forwards.push({ vm, attempts });
          return carried[targetCount - 1]!;
        },
        acquireAllowance,
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
    forwards,
    getSentCount: () => sentCount,
    getAbortCount: () => abortCount,
    disconnectCaller: () => {
      request.isCallerGone = true;
      request.abort();
    },
    stopVm: () => {
      request.isStopped = true;
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
