import getAdapterKey from '../engines/getAdapterKey';
import type Log from '../events/Log';
import type Service from '../manifest/Service';
import type Clock from '../shared/Clock';
import type createPrefillClient from '../prefill/createPrefillClient';
import getPrefillMs from '../prefill/getPrefillMs';
import type createConnections from '../upstream/createConnections';
import type UpstreamHealth from '../upstream/UpstreamHealth';
import type Upstreams from '../upstream/Upstreams';
import type Usage from '../usage/Usage';
import type ResponseHead from './ResponseHead';
import type AttemptOutcome from './AttemptOutcome';
import type CallerRequest from './CallerRequest';
import type ActiveRequest from './ActiveRequest';
import type AttemptOptions from './AttemptOptions';
import type Placement from './Placement';
import sendAttempt from './sendAttempt';

/** A request that may be repeated is sent elsewhere after this many objectives of silence. */
const SILENCE_FACTOR = 2;
const MIN_SILENCE_MS = 1000;
/** A caller that leaves after this long without a byte has found a silent upstream. */
const SILENT_MS = 1500;
const URGENCY_STEP = 2;
const MAX_URGENCY = 9;
/** Time to the first event beside the reading of the prompt. */
const ON_TIME_MARGIN_MS = 80;
/** A request that is late by this little is still worth its wait, if nothing on time needs the turn. */
const LATE_MS = 150;
/** Wait of a request that is late on its arrival here, since its adapter had to be loaded. */
const MIN_TURN_MS = 300;
/** For routes that state no objective on pauses. */
const DEFAULT_PAUSE_MS = 300;

interface AttemptsHost extends Clock {
  connections: Pick<ReturnType<typeof createConnections>, 'send'>;
  encode(
    call: CallerRequest,
    order: AttemptOptions,
  ): { method: string; path: string; headers: string[]; body: Buffer | undefined };
  readHead(status: number, headers: Record<string, string | string[] | undefined>): ResponseHead;
  getService(name: string): Service | undefined;
  /** VMs that share the connections to an upstream. */
  getVmCount(now: number): number;
  /** Tells that a prompt has been read, or will not be. */
  endPrefill(engine: string, id: string): void;
  /** Tells that an engine did not hold what it was said to hold. */
  reportMissingAdapter(engine: string, key: string): void;
  log: Log;
}

/** Sends requests to the places found for them, and learns from what becomes of them. */
export default function createAttempts(
  host: AttemptsHost,
  parts: {
    upstreams: Pick<Upstreams, 'tryGet'>;
    usage: Pick<Usage, 'beginRequest'>;
    health: UpstreamHealth;
    prefillClient: ReturnType<typeof createPrefillClient>;
  },
) {
  return async function attempt(
    job: ActiveRequest,
    place: Placement,
    isLast: boolean,
  ): Promise<AttemptOutcome> {
    const { upstream } = place;
    const startedAt = host.now();
    const service = host.getService(job.service);
    const share = Math.max(1, host.getVmCount(startedAt));
    const maxConnections = Math.max(2, Math.floor((service?.maxConnections ?? 64) / share));
    const isEngine = service?.engine !== undefined;
    const key = getAdapterKey(job.call.model ?? '', job.call.adapter);
    const finish = parts.usage.beginRequest(startedAt, upstream.id, isEngine ? key : '');
    const isRepeatable = job.route.kind === 'idempotent' || job.route.isResumable;
    const silenceMs =
      isRepeatable && !isLast
        ? Math.max(MIN_SILENCE_MS, SILENCE_FACTOR * job.route.latencyObjectiveMs)
        : Infinity;
    if (isEngine) {
      const turn = await takeTurn(job, upstream.id);
      if (job.isCallerGone) {
        finish(host.now());
        return { kind: 'callerLeft' };
      }
      if (turn === 'refused') {
        finish(host.now());
        host.endPrefill(upstream.id, job.call.id);
        return { kind: 'notSent', reason: 'noTurn' };
      }
      // The engine may have begun to leave while the request waited for its turn.
      if (parts.upstreams.tryGet(upstream.id)?.state !== 'ready') {
        finish(host.now());
        host.endPrefill(upstream.id, job.call.id);
        return { kind: 'notSent', reason: 'upstreamLeft' };
      }
    }
    const outcome = await sendAttempt(
      {
        ...host,
        send: (deadlineMs, exchange) =>
          host.connections.send(
            upstream.address,
            host.encode(job.call, {
              deadlineMs,
              upstream: upstream.id,
              version: place.version,
              urgency: isEngine
                ? Math.min(MAX_URGENCY, 1 + job.route.urgency * URGENCY_STEP)
                : undefined,
              resumeAfter:
                job.lastEventId === undefined ? job.call.resumeAfter : String(job.lastEventId),
            }),
            maxConnections,
            exchange,
          ),
        onFirstByte: (now, head) => {
          if (isEngine) {
            host.endPrefill(upstream.id, job.call.id);
          }
          if (head.status < 500 && !head.isNotRun) {
            parts.health.recordSuccess(now, upstream.id, now - startedAt);
          }
        },
      },
      job,
      silenceMs,
    );
    const now = host.now();
    finish(now);
    if (isEngine && job.firstByteAt === undefined) {
      host.endPrefill(upstream.id, job.call.id);
    }
    const isSilent =
      (outcome.kind === 'callerLeft' || outcome.kind === 'deadline') &&
      job.firstByteAt === undefined &&
      now - startedAt > SILENT_MS;
    const isFailure =
      isSilent ||
      outcome.kind === 'failed' ||
      outcome.kind === 'lost' ||
      outcome.kind === 'broken' ||
      outcome.kind === 'silent' ||
      (outcome.kind === 'notRun' && outcome.reason === 'otherUpstream' && !isEngine) ||
      (outcome.kind === 'notSent' &&
        outcome.reason !== 'noConnection' &&
        outcome.reason !== 'noTurn');
    if (isFailure && parts.health.recordFailure(now, upstream.id)) {
      host.log('upstreamSuspended', { upstream: upstream.id, cause: outcome.kind });
    }
    if (outcome.kind === 'notRun' && outcome.reason === 'otherUpstream' && isEngine) {
      host.reportMissingAdapter(upstream.id, key);
    }
    return outcome;
  };

  /** Waits until the engine has room to read the prompt, while that is in time. */
  async function takeTurn(
    job: ActiveRequest,
    engine: string,
  ): Promise<'granted' | 'refused' | 'unknown'> {
    const now = host.now();
    const { latencyObjectiveMs, urgency, pauseObjectiveMs: pauseMs = DEFAULT_PAUSE_MS } = job.route;
    const { id, promptTokens: tokens } = job.call;
    const spentMs = now - job.arrivedAt;
    const onTimeMs = latencyObjectiveMs - getPrefillMs(tokens) - ON_TIME_MARGIN_MS - spentMs;
    const waitMs = Math.min(Math.max(MIN_TURN_MS, onTimeMs + LATE_MS), job.deadlineAt - now);
    Object.assign(job, { leave: () => parts.prefillClient.cancel(job.call.id) });
    const asked = { id, tokens, urgency, onTimeMs: Math.round(onTimeMs), pauseMs };
    const turn = await parts.prefillClient.request(engine, asked, Math.round(waitMs));
    Object.assign(job, { turnMs: job.turnMs + host.now() - now });
    return turn;
  }
}
