import type createHeldBytes from '../clientLimits/createHeldBytes';
import getAdapterKey from '../engines/getAdapterKey';
import type Log from '../events/Log';
import type Service from '../manifest/Service';
import type Clock from '../shared/Clock';
import type createCrashDetector from '../quarantine/createCrashDetector';
import type Places from '../places/Places';
import type Readiness from '../readiness/Readiness';
import type RateLimiting from '../rateLimits/RateLimiting';
import type createPrefillClient from '../prefill/createPrefillClient';
import createIntervalMeter from '../load/createIntervalMeter';
import getPrefillMs from '../prefill/getPrefillMs';
import type createConnections from '../upstream/createConnections';
import getSoftwareVersion from '../streams/getSoftwareVersion';
import type Upstream from '../upstream/Upstream';
import type UpstreamHealth from '../upstream/UpstreamHealth';
import type Usage from '../usage/Usage';
import type ResponseHead from './ResponseHead';
import type AttemptOutcome from './AttemptOutcome';
import type CallerRequest from './CallerRequest';
import type ActiveRequest from './ActiveRequest';
import type AttemptOptions from './AttemptOptions';
import type Placement from './Placement';
import sendAttempt from './sendAttempt';

/** Latency objectives without a byte after which a retryable request is sent elsewhere. */
const SILENCE_OBJECTIVES = 2;
const MIN_SILENCE_MS = 1000;
/** An attempt without a byte for this long is a failure even if ended by caller or deadline. */
const SILENT_UPSTREAM_MS = 1500;
const URGENCY_STEP = 2;
const MAX_URGENCY = 9;
/** Part of the time to the first event that is not spent on the prefill. */
const FIRST_EVENT_MARGIN_MS = 80;
/** A request late by at most this still waits for a prefill, which on-time requests get first. */
const TOLERATED_LATENESS_MS = 150;
const MIN_PREFILL_WAIT_MS = 300;
/** Applies to a request for which an adapter was loaded, which would be in vain otherwise. */
const MIN_PREFILL_WAIT_AFTER_LOAD_MS = 700;
/** Used for routes without a pause objective. */
const DEFAULT_PAUSE_OBJECTIVE_MS = 300;
const MIN_REDIRECT_STATUS = 300;
/** Time without bytes after which an attempt of a partitioned VM is given up; others go on. */
const MIN_STALLED_MS = 500;
/** A response that has lasted this long did not end its upstream when it began. */
const MIN_BEGUN_MS = 250;

interface AttemptsHost extends Clock {
  held?: Pick<ReturnType<typeof createHeldBytes>, 'add'>;
  connections: Pick<ReturnType<typeof createConnections>, 'send'>;
  encodeRequest(
    callerRequest: CallerRequest,
    options: AttemptOptions,
  ): { method: string; path: string; headers: string[]; body: Buffer | undefined };
  decodeHead(status: number, headers: Record<string, string | string[] | undefined>): ResponseHead;
  getService(name: string): Service | undefined;
  /** Returns the number of VMs that share the connections to an upstream. */
  getVmCount(now: number): number;
  /** Returns whether the retry budget of a service allows a retry. */
  isRetryAllowed(now: number, service: string): boolean;
  /** Ends the prefill of a request, which has finished or will not happen. */
  endPrefill(engine: string, id: string): void;
  /** Reports that an engine did not hold an adapter that was announced as resident there. */
  reportMissingAdapter(engine: string, key: string): void;
  /** Returns a block if requests like this one crash upstreams. */
  tryGetBlock(now: number, request: CallerRequest): unknown;
  /** Records where a stream that may be resumed began. */
  recordStreamBegin(now: number, request: string, upstream: Upstream): void;
  /** Reports that an upstream served a request. */
  recordServed(now: number, request: CallerRequest): void;
  /** Reports that an upstream did not end as it began to respond. */
  recordBegun(now: number, request: CallerRequest): void;
  /** Records what the head of a response states about its upstream's readiness. */
  observeReadiness(now: number, upstream: Upstream, head: ResponseHead): void;
  /** Records how long an upstream took, for durations of one kind. */
  recordDuration(now: number, upstream: Upstream, kind: string, durationMs: number): void;
  /** Records that an upstream rejected a request or did not answer it. */
  recordRejection(now: number, upstream: Upstream): void;
  /** Records that an upstream was suspended after failures. */
  recordSuspension(now: number, upstream: Upstream): void;
  /** Records that an upstream has sent bytes. */
  recordByte(now: number): void;
  /** Records that a request failed in a way that a partition from all upstreams explains. */
  recordDoubt(now: number): void;
  log: Log;
}

/** An attempt in progress. */
interface PendingAttempt {
  sentAt: number;
  hasBegun: boolean;
  /** Returns when it was sent, or when the last bytes of its response arrived. */
  getActiveAt(): number;
  /** Ends it so that it can be made elsewhere; undefined if the request may run once only. */
  giveUp: (() => void) | undefined;
  /** Stops to count it as in flight at its upstream. */
  endUse: () => void;
}

/** Creates the function that sends a request to its placement and records the outcome. */
export default function createAttempts(
  host: AttemptsHost,
  parts: {
    readiness: Pick<Readiness, 'has'>;
    usage: Pick<Usage, 'beginRequest'>;
    health: UpstreamHealth;
    prefillClient: ReturnType<typeof createPrefillClient>;
    rateLimiting: Pick<RateLimiting, 'isLimited' | 'acquire' | 'observe'>;
    places: Pick<Places, 'isNeeded' | 'take'>;
    crashDetector: Pick<ReturnType<typeof createCrashDetector>, 'checkUpstream'>;
  },
) {
  const pending = new Set<PendingAttempt>();

  async function attempt(
    request: ActiveRequest,
    placement: Placement,
    isLast: boolean,
  ): Promise<AttemptOutcome> {
    const { upstream } = placement;
    const startedAt = host.now();
    const service = host.getService(request.service);
    const vmCount = Math.max(1, host.getVmCount(startedAt));
    const maxConnections = Math.max(2, Math.floor((service?.maxConnections ?? 64) / vmCount));
    const isEngine = service?.engine !== undefined;
    const adapterKey = getAdapterKey(
      request.callerRequest.model ?? '',
      request.callerRequest.adapter,
    );
    const endRequest = parts.usage.beginRequest(startedAt, upstream.id, isEngine ? adapterKey : '');
    const isRetryable = request.route.kind === 'idempotent' || request.route.isResumable;
    const silenceMs =
      isRetryable && !isLast
        ? Math.max(MIN_SILENCE_MS, SILENCE_OBJECTIVES * request.route.latencyObjectiveMs)
        : Infinity;
    let giveBack: ((isTurnedAway: boolean) => void) | undefined;
    /** Ends the attempt before a byte is sent. */
    const endUnsent = (outcome: AttemptOutcome) => {
      giveBack?.(false);
      endRequest(host.now());
      if (isEngine) {
        host.endPrefill(upstream.id, request.callerRequest.id);
      }
      return outcome;
    };
    const endAborted = () =>
      endUnsent(
        request.isCallerGone ? { kind: 'callerLeft' } : { kind: 'notSent', reason: 'stopped' },
      );
    if (isEngine) {
      const permission = await waitForPrefill(request, upstream.id);
      if (request.isCallerGone || request.isStopped) {
        return endAborted();
      }
      if (permission === 'refused') {
        const isLeaving = parts.readiness.has(host.now(), upstream, 'leaving');
        return endUnsent({ kind: 'notSent', reason: isLeaving ? 'upstreamLeft' : 'noTurn' });
      }
    }
    let permitWaitMs = 0;
    if (parts.rateLimiting.isLimited(upstream)) {
      const wantedAt = host.now();
      const isPermitted = await parts.rateLimiting.acquire(upstream);
      permitWaitMs = host.now() - wantedAt;
      if (request.isCallerGone || request.isStopped) {
        return endAborted();
      }
      if (!isPermitted) {
        return endUnsent({ kind: 'notSent', reason: 'limited' });
      }
    }
    if (parts.places.isNeeded(host.now(), upstream)) {
      const wantedAt = host.now();
      giveBack = await parts.places.take(upstream, Math.max(0, request.deadlineAt - wantedAt));
      permitWaitMs += host.now() - wantedAt;
      if (request.isCallerGone || request.isStopped) {
        return endAborted();
      }
      if (!giveBack) {
        return endUnsent({ kind: 'notSent', reason: 'limited' });
      }
    }
    // The upstream may have become unready while the request waited.
    if (parts.readiness.has(host.now(), upstream, 'leaving')) {
      return endUnsent({ kind: 'notSent', reason: 'upstreamLeft' });
    }
    if (parts.readiness.has(host.now(), upstream, 'resting')) {
      return endUnsent({ kind: 'notSent', reason: 'resting' });
    }
    if (host.tryGetBlock(host.now(), request.callerRequest)) {
      return endUnsent({ kind: 'notSent', reason: 'blocked' });
    }
    if (request.allowance?.trySpend(host.now()) === false) {
      return endUnsent({ kind: 'notSent', reason: 'allowanceExpired' });
    }
    let beganAt: number | undefined;
    let sentAt = host.now();
    const recordStreamData = createIntervalMeter((now, intervalMs) =>
      host.recordDuration(now, upstream, `${request.service} events`, intervalMs),
    );
    const pendingAttempt: PendingAttempt = {
      sentAt,
      hasBegun: false,
      getActiveAt: () => Math.max(sentAt, request.lastByteAt ?? -Infinity),
      giveUp: isRetryable ? () => request.giveUp() : undefined,
      endUse: () => {
        endRequest(host.now());
        if (isEngine) {
          host.endPrefill(upstream.id, request.callerRequest.id);
        }
      },
    };
    pending.add(pendingAttempt);
    const outcome = await sendAttempt(
      {
        ...host,
        isRetryAllowed: (now) => host.isRetryAllowed(now, request.service),
        send: (deadlineMs, handler) => {
          sentAt = host.now();
          return host.connections.send(
            upstream.address,
            host.encodeRequest(request.callerRequest, {
              deadlineMs,
              upstream: upstream.id,
              version: placement.version,
              urgency: isEngine
                ? Math.min(MAX_URGENCY, 1 + request.route.urgency * URGENCY_STEP)
                : undefined,
              resumeAfter:
                request.lastEventId === undefined
                  ? request.callerRequest.resumeAfter
                  : String(request.lastEventId),
            }),
            maxConnections,
            handler,
          );
        },
        onFirstEvent: (now) => {
          if (request.softwareVersion === undefined) {
            Object.assign(request, { softwareVersion: getSoftwareVersion(upstream) });
            host.recordStreamBegin(now, request.callerRequest.id, upstream);
          }
        },
        onHead: (now, head) => {
          pendingAttempt.hasBegun = true;
          host.recordByte(now);
          parts.rateLimiting.observe(now, upstream, head, sentAt);
          host.observeReadiness(now, upstream, head);
        },
        onStreamData: recordStreamData,
        onFirstByte: (now, head) => {
          if (beganAt === undefined && head.status < MIN_REDIRECT_STATUS) {
            const kind = `${request.service} ${request.route.name}`;
            host.recordDuration(now, upstream, kind, now - sentAt);
          }
          beganAt ??= now;
          host.recordByte(now);
          if (isEngine) {
            host.endPrefill(upstream.id, request.callerRequest.id);
          }
          if (head.status < 500 && !head.isNotRun) {
            parts.health.recordSuccess(now, upstream.id, now - startedAt - permitWaitMs);
          }
        },
      },
      request,
      silenceMs,
    );
    const now = host.now();
    pending.delete(pendingAttempt);
    giveBack?.(outcome.kind === 'notRun' && outcome.reason === 'full');
    endRequest(now);
    if (isEngine && beganAt === undefined) {
      host.endPrefill(upstream.id, request.callerRequest.id);
    }
    const isSilent =
      (outcome.kind === 'callerLeft' || outcome.kind === 'deadline') &&
      request.firstByteAt === undefined &&
      now - startedAt > SILENT_UPSTREAM_MS;
    const isFailure =
      isSilent ||
      outcome.kind === 'failed' ||
      outcome.kind === 'lost' ||
      outcome.kind === 'broken' ||
      outcome.kind === 'silent' ||
      (outcome.kind === 'notRun' && outcome.reason === 'otherUpstream' && !isEngine) ||
      (outcome.kind === 'notSent' && outcome.reason !== 'noConnection');
    if (['notSent', 'lost', 'silent'].includes(outcome.kind) && isFailure) {
      host.recordDoubt(now);
    }
    if (isFailure || (outcome.kind === 'notRun' && outcome.reason === 'full')) {
      host.recordRejection(now, upstream);
    }
    if (isFailure && parts.health.recordFailure(now, upstream.id)) {
      host.recordSuspension(now, upstream);
      host.log('upstreamSuspended', { upstream: upstream.id, cause: outcome.kind });
    }
    const lastedMs = (request.lastByteAt ?? now) - (beganAt ?? Infinity);
    const isServed = outcome.kind === 'done' && outcome.status < MIN_REDIRECT_STATUS;
    if (isServed) {
      host.recordServed(now, request.callerRequest);
    } else if (lastedMs >= MIN_BEGUN_MS) {
      host.recordBegun(now, request.callerRequest);
    } else if (
      (outcome.kind === 'lost' || outcome.kind === 'broken') &&
      !parts.places.isNeeded(now, upstream)
    ) {
      parts.crashDetector.checkUpstream(upstream, request.callerRequest, sentAt);
    }
    if (outcome.kind === 'notRun' && outcome.reason === 'otherUpstream' && isEngine) {
      host.reportMissingAdapter(upstream.id, adapterKey);
    }
    return outcome;
  }

  /** Ends what waits for upstreams that this VM does not reach, so that other VMs carry it. */
  function leaveUpstreams(): void {
    const now = host.now();
    [...pending].forEach(({ hasBegun, getActiveAt, giveUp, endUse }) => {
      if (now - getActiveAt() < MIN_STALLED_MS) {
        return;
      }
      if (giveUp) {
        giveUp();
      } else if (!hasBegun) {
        endUse();
      }
    });
  }

  /** Waits for a prefill permission of the engine, as long as the request can still be in time. */
  async function waitForPrefill(
    request: ActiveRequest,
    engine: string,
  ): Promise<'granted' | 'refused' | 'unknown'> {
    const now = host.now();
    const {
      latencyObjectiveMs,
      urgency,
      pauseObjectiveMs: pauseMs = DEFAULT_PAUSE_OBJECTIVE_MS,
    } = request.route;
    const { id, promptTokens: tokens } = request.callerRequest;
    const spentMs = now - request.arrivedAt;
    const onTimeMs = latencyObjectiveMs - getPrefillMs(tokens) - FIRST_EVENT_MARGIN_MS - spentMs;
    const waitMs = Math.min(
      Math.max(
        request.loadWaitMs > 0 ? MIN_PREFILL_WAIT_AFTER_LOAD_MS : MIN_PREFILL_WAIT_MS,
        onTimeMs + TOLERATED_LATENESS_MS,
      ),
      request.deadlineAt - now,
    );
    Object.assign(request, { abort: () => parts.prefillClient.cancel(request.callerRequest.id) });
    const { model = '', adapter } = request.callerRequest;
    const key = getAdapterKey(model, adapter);
    const organisation = request.organisation && { organisation: request.organisation.name };
    const prefillRequest = {
      ...{ id, key, tokens, urgency, onTimeMs: Math.round(onTimeMs), pauseMs },
      ...organisation,
    };
    const permission = await parts.prefillClient.request(
      engine,
      prefillRequest,
      Math.round(waitMs),
    );
    Object.assign(request, { prefillWaitMs: request.prefillWaitMs + host.now() - now });
    return permission;
  }

  return {
    attempt,
    leaveUpstreams,
    /** Returns when the last bytes of a response that is not complete arrived, or -Infinity. */
    getLastByteAt: () =>
      Math.max(
        -Infinity,
        ...[...pending].filter(({ hasBegun }) => hasBegun).map(({ getActiveAt }) => getActiveAt()),
      ),
    /** Returns whether a request has waited for the head of its response since `at`. */
    hasWaited: (at: number) =>
      [...pending].some(({ sentAt, hasBegun }) => !hasBegun && sentAt <= at),
  };
}
