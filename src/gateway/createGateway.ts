import type Log from '../events/Log';
import type Metrics from '../metrics/Metrics';
import type Manifest from '../manifest/Manifest';
import pickTarget from '../manifest/pickTarget';
import tryGetRoute from '../manifest/tryGetRoute';
import type Result from '../shared/Result';
import type Clock from '../shared/Clock';
import type AttemptOutcome from './AttemptOutcome';
import type CallerRequest from './CallerRequest';
import type ActiveRequest from './ActiveRequest';
import type Placement from './Placement';
import type Refusal from './Refusal';
import type ResponseWriter from './ResponseWriter';
import serveCall from './serveCall';
import writeRefusal from './writeRefusal';

const NOT_READY_RETRY_MS = 500;
/** Another VM serves a caller that comes back at once. */
const LEAVING_RETRY_MS = 50;

interface GatewayHost extends Clock {
  getManifest(): Manifest | undefined;
  place(
    job: ActiveRequest,
    avoid: ReadonlySet<string>,
    isAtOnce: boolean,
  ): Promise<Result<Placement, Refusal>>;
  attempt(job: ActiveRequest, place: Placement, isLast: boolean): Promise<AttemptOutcome>;
  recordRequest(now: number, service: string): void;
  tryRetry(now: number, service: string): boolean;
  /** A number from 0 to 1. */
  random(): number;
  log: Log;
  metrics: Metrics;
}

/** The filter chain of a caller's request: manifest, route, deadline, then service. */
export default function createGateway(host: GatewayHost) {
  let inFlight = 0;
  let isLongRefused = false;

  /** Serves one request; the answer tells it that the caller has left. */
  function handle(arrivedAt: number, call: CallerRequest, reply: ResponseWriter): () => void {
    const manifest = host.getManifest();
    if (!manifest) {
      refuse(call, reply, { kind: 'notReady', retryAfterMs: NOT_READY_RETRY_MS });
      return () => {};
    }
    const [path] = call.path.split('?');
    const route = tryGetRoute(manifest, call.host, path);
    if (!route) {
      refuse(call, reply, { kind: 'noRoute' });
      return () => {};
    }
    if (isLongRefused && route.kind === 'stream') {
      refuse(call, reply, { kind: 'notReady', retryAfterMs: LEAVING_RETRY_MS });
      return () => {};
    }
    const service = pickTarget(route, host.random());
    const patienceMs = Math.min(route.timeoutMs, call.deadlineMs ?? Infinity);
    const job: ActiveRequest = {
      call,
      route,
      service,
      reply,
      arrivedAt,
      deadlineAt: arrivedAt + patienceMs,
      isHeadWritten: false,
      lastEventId: undefined,
      firstByteAt: undefined,
      lastByteAt: undefined,
      turnMs: 0,
      longestPauseMs: 0,
      isCallerGone: false,
      leave: () => {},
    };
    host.recordRequest(arrivedAt, service);
    run(job, manifest.version);
    return () => {
      job.isCallerGone = true;
      job.leave();
    };
  }

  async function run(job: ActiveRequest, version: number): Promise<void> {
    inFlight += 1;
    host.metrics.inFlight.set(inFlight);
    host.metrics.requests.inc({ kind: job.route.kind });
    let last: string | undefined;
    let sent = 0;
    const end = await serveCall(
      {
        ...host,
        attempt: (attempted, place, isLast) => {
          last = place.upstream.id;
          sent += 1;
          return host.attempt(attempted, place, isLast);
        },
        countRetry: (reason) => host.metrics.retries.inc({ reason }),
      },
      job,
    );
    inFlight -= 1;
    host.metrics.inFlight.set(inFlight);
    const now = host.now();
    const { kind, ...details } = end;
    if (kind === 'answered') {
      host.metrics.answers.inc({ kind: job.route.kind });
      host.metrics.firstToken.observe(((job.firstByteAt ?? now) - job.arrivedAt) / 1000);
    }
    if (kind === 'refused') {
      host.metrics.refusals.inc({ reason: end.kind === 'refused' ? end.reason : kind });
    }
    host.log(kind === 'refused' ? 'requestRefused' : 'requestEnded', {
      request: job.call.id,
      end: kind,
      ...details,
      route: job.route.name,
      manifest: version,
      service: job.service,
      adapter: job.call.adapter,
      upstream: last,
      sent,
      ms: Math.round(now - job.arrivedAt),
      firstMs: job.firstByteAt && Math.round(job.firstByteAt - job.arrivedAt),
      tokens: job.call.promptTokens,
      turnMs: Math.round(job.turnMs),
      pauseMs: Math.round(job.longestPauseMs),
    });
  }

  /** Answers a request that fails before it is placed. */
  function refuse(
    call: Pick<CallerRequest, 'id' | 'path'>,
    reply: ResponseWriter,
    refusal: Refusal,
  ): void {
    const status = writeRefusal(reply, refusal);
    host.metrics.refusals.inc({ reason: refusal.kind });
    host.log('requestRefused', {
      request: call.id,
      end: 'refused',
      status,
      reason: refusal.kind,
      manifest: host.getManifest()?.version,
    });
  }

  /** Refuses streams from now on: they would not end before this VM does. */
  function refuseStreams(): void {
    isLongRefused = true;
  }

  return { handle, refuse, refuseStreams, getInFlight: () => inFlight };
}
