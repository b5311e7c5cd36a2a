import type Grant from '../allowances/Grant';
import type Log from '../events/Log';
import type Metrics from '../metrics/Metrics';
import type Manifest from '../manifest/Manifest';
import type Route from '../manifest/Route';
import type createIdentification from '../organisations/createIdentification';
import createBoundedLabels from '../organisations/createBoundedLabels';
import pickTarget from '../manifest/pickTarget';
import tryGetRoute from '../manifest/tryGetRoute';
import getTraits from '../quarantine/getTraits';
import type Result from '../shared/Result';
import type Clock from '../shared/Clock';
import type StreamOrigin from '../streams/StreamOrigin';
import type AttemptOutcome from './AttemptOutcome';
import type CallerRequest from './CallerRequest';
import type PlannedStop from './PlannedStop';
import isAdmittedBeforeExit from './isAdmittedBeforeExit';
import type Upstream from '../upstream/Upstream';
import type ActiveRequest from './ActiveRequest';
import type Placement from './Placement';
import type Refusal from './Refusal';
import getRetryAfterMs from './getRetryAfterMs';
import type ResponseWriter from './ResponseWriter';
import serveRequest from './serveRequest';
import writeRefusal from './writeRefusal';

/** Organisations that have a label of their own in metrics; the page on hard load states the bound. */
const MAX_ORGANISATION_LABELS = 64;
const NO_ORGANISATION_LABEL = 'none';
const NOT_READY_RETRY_AFTER_MS = 500;
/** Short, since another VM can serve the retry immediately. */
const LEAVING_RETRY_AFTER_MS = 50;

interface GatewayHost extends Clock {
  getManifest(): Manifest | undefined;
  identify: ReturnType<typeof createIdentification>['identify'];
  place(
    request: ActiveRequest,
    excludedUpstreams: ReadonlySet<string>,
    isImmediate: boolean,
  ): Promise<Result<Placement, Refusal>>;
  attempt(request: ActiveRequest, placement: Placement, isLast: boolean): Promise<AttemptOutcome>;
  /** Returns the trait of a request for which it is refused, and the time until that ends. */
  tryGetBlock(now: number, request: CallerRequest): { trait: string; endsInMs: number } | undefined;
  /** Returns where the stream began that a request resumes; undefined if that is not known. */
  tryGetOrigin(now: number, request: CallerRequest, route: Route): StreamOrigin | undefined;
  /** Returns the requests a second that an upstream takes, if it states a limit. */
  tryGetLimit(upstream: Upstream): number | undefined;
  /** Returns whether this VM reaches no upstream. */
  isPartitioned(): boolean;
  /** Returns the VM that is to carry a request; undefined if this VM serves it. */
  tryGetCarrier(request: ActiveRequest, excluded: ReadonlySet<string>): string | undefined;
  forward(request: ActiveRequest, vm: string, attempts: number): Promise<AttemptOutcome>;
  /** Takes what a request uses of its organisation's allowance; undefined if it needs none. */
  acquireAllowance(request: ActiveRequest): Promise<Grant> | undefined;
  recordRequest(now: number, service: string): void;
  tryRetry(now: number, service: string): boolean;
  /** Returns a number from 0 to 1. */
  random(): number;
  log: Log;
  metrics: Metrics;
}

/**
 * Creates the handler of callers' requests: checks that a manifest is in force, finds the route,
 * computes the deadline, picks the service and serves the request.
 */
export default function createGateway(host: GatewayHost) {
  const active = new Set<ActiveRequest>();
  const getOrganisationLabel = createBoundedLabels(MAX_ORGANISATION_LABELS);
  let plannedStop: PlannedStop | undefined;

  /** Serves one request; returns a function to call when the caller has disconnected. */
  function handle(
    arrivedAt: number,
    sentRequest: CallerRequest,
    response: ResponseWriter,
  ): () => void {
    const manifest = host.getManifest();
    if (!manifest) {
      refuse(sentRequest, response, { kind: 'notReady', retryAfterMs: NOT_READY_RETRY_AFTER_MS });
      return () => {};
    }
    if (sentRequest.forwarded && host.isPartitioned()) {
      const retryAfterMs = getRetryAfterMs(host.random());
      refuse(sentRequest, response, { kind: 'partitioned', retryAfterMs });
      return () => {};
    }
    const [path] = sentRequest.path.split('?');
    const route = tryGetRoute(manifest, sentRequest.host, path);
    if (!route) {
      refuse(sentRequest, response, { kind: 'noRoute' });
      return () => {};
    }
    const identified = host.identify(arrivedAt, manifest, route, sentRequest);
    if (!identified.ok) {
      const unidentified = { ...sentRequest, verified: { organisation: undefined } };
      refuse(unidentified, response, identified.error);
      return () => {};
    }
    const { callerRequest, organisation } = identified.value;
    const timeoutMs = Math.min(route.timeoutMs, callerRequest.deadlineMs ?? Infinity);
    if (plannedStop && !isAdmittedBeforeExit(arrivedAt, plannedStop, route.kind, timeoutMs)) {
      refuse(callerRequest, response, { kind: 'notReady', retryAfterMs: LEAVING_RETRY_AFTER_MS });
      return () => {};
    }
    const block = host.tryGetBlock(arrivedAt, callerRequest);
    if (block) {
      const { trait, endsInMs } = block;
      refuse(callerRequest, response, { kind: 'blocked', trait, retryAfterMs: endsInMs });
      return () => {};
    }
    const isResumption = route.isResumable && callerRequest.resumeAfter !== undefined;
    const origin = isResumption ? host.tryGetOrigin(arrivedAt, callerRequest, route) : undefined;
    const isServiceRouted = route.targets.some(({ service }) => service === origin?.service);
    if (isResumption && !isServiceRouted) {
      const retryAfterMs = getRetryAfterMs(host.random());
      refuse(callerRequest, response, { kind: 'unknownOrigin', retryAfterMs });
      return () => {};
    }
    const service = origin?.service ?? pickTarget(route, host.random());
    const request: ActiveRequest = {
      callerRequest,
      route: {
        ...route,
        attempts: Math.min(route.attempts, callerRequest.forwarded?.attempts ?? Infinity),
        urgency: organisation?.urgency ?? route.urgency,
      },
      organisation,
      service,
      response,
      arrivedAt,
      deadlineAt: arrivedAt + timeoutMs,
      softwareVersion: origin?.version,
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
    if (!callerRequest.forwarded) {
      host.recordRequest(arrivedAt, service);
    }
    serveAndRecord(request, manifest.version);
    return () => {
      request.isCallerGone = true;
      request.abort();
    };
  }

  async function serveAndRecord(request: ActiveRequest, version: number): Promise<void> {
    active.add(request);
    host.metrics.inFlight.set(active.size);
    host.metrics.requests.inc({ kind: request.route.kind });
    let lastUpstream: Upstream | undefined;
    let sentCount = 0;
    const served = serveRequest(
      {
        ...host,
        attempt: (attemptedRequest, placement, isLast) => {
          lastUpstream = placement.upstream;
          sentCount += 1;
          return host.attempt(attemptedRequest, placement, isLast);
        },
        countRetry: (reason) => host.metrics.retries.inc({ reason }),
      },
      request,
    );
    const outcome = await served.catch((error: Error): Awaited<typeof served> => {
      host.log('unexpected', { request: request.callerRequest.id, error: error.stack });
      request.response.abort();
      // It is not known whether the request was sent.
      request.allowance?.end(host.now(), true);
      return { kind: 'cut', reason: 'unexpected' };
    });
    active.delete(request);
    host.metrics.inFlight.set(active.size);
    const now = host.now();
    request.allowance?.end(now, false);
    const { kind, ...details } = outcome;
    countByOrganisation(request.callerRequest, kind);
    if (kind === 'answered') {
      host.metrics.answers.inc({ kind: request.route.kind });
      host.metrics.firstToken.observe(((request.firstByteAt ?? now) - request.arrivedAt) / 1000);
    }
    if (kind === 'refused') {
      host.metrics.refusals.inc({ reason: outcome.kind === 'refused' ? outcome.reason : kind });
    }
    host.log(kind === 'refused' ? 'requestRefused' : 'requestEnded', {
      request: request.callerRequest.id,
      end: kind,
      ...details,
      route: request.route.name,
      organisation: request.organisation?.name,
      manifest: version,
      service: request.service,
      adapter: request.callerRequest.adapter,
      upstream: lastUpstream?.id,
      limit: lastUpstream && host.tryGetLimit(lastUpstream),
      softwareVersion: lastUpstream?.softwareVersion,
      resumes: request.callerRequest.resumedRequest,
      resumeAfter: request.callerRequest.resumeAfter,
      sent: sentCount,
      isForwarded: request.callerRequest.forwarded !== undefined,
      framing: request.framing,
      partialEventBytes: request.partialEventBytes,
      ms: Math.round(now - request.arrivedAt),
      firstMs: request.firstByteAt && Math.round(request.firstByteAt - request.arrivedAt),
      tokens: request.callerRequest.promptTokens,
      traits: kind === 'answered' ? undefined : getTraits(request.callerRequest),
      loadMs: Math.round(request.loadWaitMs),
      turnMs: Math.round(request.prefillWaitMs),
      pauseMs: Math.round(request.longestPauseMs),
    });
  }

  /** Refuses a request before it is placed at an upstream. */
  function refuse(
    callerRequest: Pick<CallerRequest, 'id' | 'path' | 'verified' | 'forwarded'>,
    response: ResponseWriter,
    refusal: Refusal,
  ): void {
    const status = writeRefusal(response, refusal);
    host.metrics.refusals.inc({ reason: refusal.kind });
    countByOrganisation(callerRequest, 'refused');
    host.log('requestRefused', {
      request: callerRequest.id,
      end: 'refused',
      status,
      reason: refusal.kind,
      organisation: callerRequest.verified?.organisation,
      manifest: host.getManifest()?.version,
    });
  }

  /** Counts a request of a caller; the VM that forwards a request has counted it. */
  function countByOrganisation(
    callerRequest: Pick<CallerRequest, 'verified' | 'forwarded'>,
    outcome: string,
  ): void {
    if (callerRequest.verified && !callerRequest.forwarded) {
      const name = callerRequest.verified.organisation ?? NO_ORGANISATION_LABEL;
      host.metrics.organisationRequests.inc({ organisation: getOrganisationLabel(name), outcome });
    }
  }

  /** From now on, takes only requests that can end before this VM exits. */
  function startLeaving(newStop: PlannedStop): void {
    plannedStop = newStop;
  }

  /**
   * Ends the requests in progress, since this VM exits: refuses those that no upstream can have run,
   * and fails the others.
   */
  function endAll(): void {
    active.forEach((request) => {
      Object.assign(request, { isStopped: true });
      request.abort();
    });
  }

  return { handle, refuse, startLeaving, endAll, getInFlight: () => active.size };
}
