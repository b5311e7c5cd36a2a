import { match, P } from 'ts-pattern';
import type Grant from '../allowances/Grant';
import type Log from '../events/Log';
import type Result from '../shared/Result';
import type AttemptOutcome from './AttemptOutcome';
import getRetryAfterMs from './getRetryAfterMs';
import type ActiveRequest from './ActiveRequest';
import type CallerRequest from './CallerRequest';
import type Placement from './Placement';
import type Refusal from './Refusal';
import writeRefusal from './writeRefusal';

/** Maximum number of attempts that end before a byte is sent; the request is then ended. */
const MAX_UNSENT_ATTEMPTS = 4;
/** A request that is not sent while its share of an allowance is valid gets another this often. */
const MAX_ALLOWANCE_RENEWALS = 2;
/** A request that has waited this long for prefill permissions is late at any engine. */
const MAX_PREFILL_WAIT_MS = 150;
/** Maximum number of attempts that upstreams reject without running the request. */
const MAX_NOT_RUN_ATTEMPTS = 3;
const NO_UPSTREAM_RETRY_AFTER_MS = 300;
/** Short, since another VM can serve the retry immediately. */
const STOPPED_RETRY_AFTER_MS = 50;
const BAD_GATEWAY = 502;
const GATEWAY_TIMEOUT = 504;

interface ServeRequestHost {
  now(): number;
  /**
   * Chooses an upstream. Waits for the adapter to be loaded if that can finish in time and
   * `isImmediate` is not set.
   */
  place(
    request: ActiveRequest,
    excludedUpstreams: ReadonlySet<string>,
    isImmediate: boolean,
  ): Promise<Result<Placement, Refusal>>;
  attempt(request: ActiveRequest, placement: Placement, isLast: boolean): Promise<AttemptOutcome>;
  /** Returns the VM that is to carry the request; undefined if this VM serves it. */
  tryGetCarrier(request: ActiveRequest, excluded: ReadonlySet<string>): string | undefined;
  /** Has another VM carry the request to upstreams, of which at most `attempts` run it. */
  forward(request: ActiveRequest, vm: string, attempts: number): Promise<AttemptOutcome>;
  /** Returns the trait of a request for which it is refused, and the time until that ends. */
  tryGetBlock(now: number, request: CallerRequest): { trait: string; endsInMs: number } | undefined;
  /**
   * Takes what the request uses of its organisation's allowance; undefined if it needs none. Called
   * once, before the request is placed, and again if that is not sent in time.
   */
  acquireAllowance(request: ActiveRequest): Promise<Grant> | undefined;
  /** Takes one retry from the retry budget of the service; returns false if none is left. */
  tryRetry(now: number, service: string): boolean;
  /** Returns a number from 0 to 1. */
  random(): number;
  countRetry(reason: string): void;
  log: Log;
}

type RequestOutcome =
  | { kind: 'answered'; status: number }
  | { kind: 'refused'; status: number; reason: string; seen?: unknown }
  | { kind: 'failed'; status: number; reason: string }
  | { kind: 'cut'; reason: string }
  | { kind: 'callerLeft' };

/** Places and sends a request, retries it where that is safe, and returns how it ended. */
export default async function serveRequest(
  host: ServeRequestHost,
  request: ActiveRequest,
): Promise<RequestOutcome> {
  /** Upstreams, and VMs that carry requests, that are not tried again. */
  const excluded = new Set<string>();
  let sentCount = 0;
  let unsentCount = 0;
  let notRunCount = 0;
  /** Upstreams that may have run the request; a VM that carries it may have used all that it may. */
  let runCount = 0;
  let isImmediate = false;
  let allowanceRenewals = 0;
  const isRetryable =
    request.route.kind === 'idempotent' ||
    (request.route.kind === 'stream' && request.route.isResumable);

  const pendingGrant = host.acquireAllowance(request);
  const overAllowance = pendingGrant && (await receiveGrant(pendingGrant));
  if (overAllowance) {
    return overAllowance;
  }
  for (;;) {
    const target = await chooseTarget();
    if (request.isCallerGone) {
      return { kind: 'callerLeft' };
    }
    if (request.isStopped) {
      return endStopped();
    }
    if (!target.ok) {
      return runCount > 0 ? fail('noPlaceLeft') : refuse(target.error);
    }
    const { id } = target.value;

    const outcome = await target.value.attempt();
    if (outcome.kind !== 'notSent') {
      sentCount += 1;
      request.allowance?.end(host.now(), true);
    } else if (
      outcome.reason === 'allowanceExpired' &&
      allowanceRenewals < MAX_ALLOWANCE_RENEWALS
    ) {
      allowanceRenewals += 1;
      request.allowance?.end(host.now(), false);
      const renewed = host.acquireAllowance(request);
      const refused = renewed && (await receiveGrant(renewed));
      if (refused) {
        return refused;
      }
    }
    if (!['notSent', 'notRun', 'refused'].includes(outcome.kind)) {
      runCount += target.value.attempts;
    }
    const decision = handleOutcome(outcome, id);
    if (decision !== 'retry') {
      return decision;
    }
    host.countRetry(outcome.kind);
    host.log('requestRetried', {
      request: request.callerRequest.id,
      upstream: id,
      cause: outcome.kind,
      reason: 'reason' in outcome ? outcome.reason : undefined,
      sent: sentCount,
      leftMs: Math.round(request.deadlineAt - host.now()),
    });
  }

  /** Waits for what the request uses of an allowance; returns how the request ends without it. */
  async function receiveGrant(pending: Promise<Grant>): Promise<RequestOutcome | undefined> {
    const grant = await pending;
    if (grant.kind === 'granted') {
      Object.assign(request, { allowance: grant });
    }
    if (request.isCallerGone) {
      return { kind: 'callerLeft' };
    }
    if (request.isStopped) {
      return endStopped();
    }
    if (host.now() >= request.deadlineAt) {
      return refuse({ kind: 'deadline', retryAfterMs: getRetryAfterMs(host.random()) });
    }
    return grant.kind === 'refused' ? refuse({ ...grant, kind: 'overAllowance' }) : undefined;
  }

  /** Has another VM carry the request, which uses its share of an allowance then. */
  async function forward(vm: string, attempts: number): Promise<AttemptOutcome> {
    return request.allowance?.trySpend(host.now()) === false
      ? { kind: 'notSent', reason: 'allowanceExpired' }
      : host.forward(request, vm, attempts);
  }

  /** Chooses the upstream of the next attempt, or the VM that carries the request. */
  async function chooseTarget(): Promise<
    Result<{ id: string; attempts: number; attempt: () => Promise<AttemptOutcome> }, Refusal>
  > {
    const carrier = host.tryGetCarrier(request, excluded);
    if (carrier !== undefined) {
      const attempts = Math.max(1, request.route.attempts - runCount);
      return {
        ok: true,
        value: {
          id: carrier,
          attempts,
          attempt: () => forward(carrier, attempts),
        },
      };
    }
    if (request.isBegunElsewhere) {
      return { ok: false, error: { kind: 'notReady', retryAfterMs: NO_UPSTREAM_RETRY_AFTER_MS } };
    }
    const placed = await host.place(request, excluded, isImmediate);
    if (!placed.ok) {
      return placed;
    }
    const placement = placed.value;
    const isLast = runCount + 1 >= request.route.attempts;
    return {
      ok: true,
      value: {
        id: placement.upstream.id,
        attempts: 1,
        attempt: () => host.attempt(request, placement, isLast),
      },
    };
  }

  function handleOutcome(outcome: AttemptOutcome, targetId: string): RequestOutcome | 'retry' {
    return match<AttemptOutcome, RequestOutcome | 'retry'>(outcome)
      .with({ kind: 'done' }, ({ status }) => ({ kind: 'answered', status }))
      .with({ kind: 'callerLeft' }, () => ({ kind: 'callerLeft' }))
      .with({ kind: 'notSent', reason: 'noTurn' }, () => {
        unsentCount += 1;
        excluded.add(targetId);
        isImmediate = true;
        if (unsentCount < MAX_UNSENT_ATTEMPTS && request.prefillWaitMs < MAX_PREFILL_WAIT_MS) {
          return 'retry';
        }
        return runCount > 0
          ? fail('busy')
          : refuse({ kind: 'busy', retryAfterMs: getRetryAfterMs(host.random()) });
      })
      .with({ kind: 'notSent', reason: 'stopped' }, endStopped)
      .with({ kind: 'stopped' }, () => fail('stopped'))
      .with({ kind: 'notSent', reason: P.union('limited', 'resting') }, () => {
        excluded.add(targetId);
        return 'retry';
      })
      .with({ kind: 'notSent', reason: 'allowanceExpired' }, () => {
        const retryAfterMs = getRetryAfterMs(host.random());
        return allowanceRenewals < MAX_ALLOWANCE_RENEWALS
          ? 'retry'
          : refuse({ kind: 'overAllowance', retryAfterMs });
      })
      .with({ kind: 'notSent', reason: 'blocked' }, () => {
        const block = host.tryGetBlock(host.now(), request.callerRequest);
        return runCount > 0 || !block
          ? fail('blocked')
          : refuse({ kind: 'blocked', trait: block.trait, retryAfterMs: block.endsInMs });
      })
      .with({ kind: 'notSent' }, ({ reason }) => {
        unsentCount += 1;
        if (reason !== 'noConnection') {
          excluded.add(targetId);
        }
        const canRetry = unsentCount < MAX_UNSENT_ATTEMPTS && reason !== 'noConnection';
        return canRetry ? 'retry' : endWithoutUpstream();
      })
      .with({ kind: 'refused' }, ({ head, body }) => {
        notRunCount += 1;
        if (runCount > 0 || request.isHeadWritten) {
          return fail('refusedByCarrier');
        }
        request.response.writeHead(head.status, head.headers);
        request.response.end(body);
        return { kind: 'refused', status: head.status, reason: 'carrier' };
      })
      .with({ kind: 'notRun' }, () => {
        notRunCount += 1;
        excluded.add(targetId);
        return notRunCount < MAX_NOT_RUN_ATTEMPTS && tryTakeRetry()
          ? 'retry'
          : endWithoutUpstream();
      })
      .with({ kind: 'failed' }, ({ head, body }) => {
        if (isRetryable && hasAttemptLeft() && tryTakeRetry()) {
          excluded.add(targetId);
          return 'retry';
        }
        if (request.isHeadWritten) {
          return abortResponse('failedMidway');
        }
        request.response.writeHead(head.status, head.headers);
        request.response.end(body);
        return { kind: 'answered', status: head.status };
      })
      .with({ kind: P.union('lost', 'broken', 'silent') }, (failure) => {
        excluded.add(targetId);
        const canContinue =
          isRetryable && (!request.isHeadWritten || request.route.kind === 'stream');
        return canContinue && hasAttemptLeft() && tryTakeRetry() ? 'retry' : fail(failure.kind);
      })
      .with({ kind: 'deadline' }, () => fail('deadline'))
      .exhaustive();
  }

  function hasAttemptLeft(): boolean {
    return runCount < request.route.attempts;
  }

  function tryTakeRetry(): boolean {
    return host.tryRetry(host.now(), request.service);
  }

  /**
   * Ends a request that the last upstream did not run: refuses it, or fails it if an earlier
   * upstream may have run it.
   */
  function endWithoutUpstream(): RequestOutcome {
    return runCount > 0
      ? fail('noUpstream')
      : refuse({ kind: 'noUpstream', retryAfterMs: NO_UPSTREAM_RETRY_AFTER_MS });
  }

  /** Ends a request that waits for an upstream while this VM exits; another VM serves it. */
  function endStopped(): RequestOutcome {
    return runCount > 0
      ? fail('stopped')
      : refuse({ kind: 'notReady', retryAfterMs: STOPPED_RETRY_AFTER_MS });
  }

  function refuse(refusal: Refusal): RequestOutcome {
    if (request.isHeadWritten) {
      return abortResponse(refusal.kind);
    }
    const seen = 'seen' in refusal ? refusal.seen : undefined;
    return {
      kind: 'refused',
      status: writeRefusal(request.response, refusal),
      reason: refusal.kind,
      seen,
    };
  }

  /** Ends a request that may have run, with an error status or by closing the connection. */
  function fail(reason: string): RequestOutcome {
    if (request.isHeadWritten) {
      return abortResponse(reason);
    }
    const status = reason === 'deadline' ? GATEWAY_TIMEOUT : BAD_GATEWAY;
    const body = Buffer.from(JSON.stringify({ error: { code: reason, ran: 'unknown' } }));
    request.response.writeHead(status, [
      ['content-type', 'application/json'],
      ['content-length', String(body.length)],
    ]);
    request.response.end(body);
    return { kind: 'failed', status, reason };
  }

  function abortResponse(reason: string): RequestOutcome {
    request.response.abort();
    return { kind: 'cut', reason };
  }
}
