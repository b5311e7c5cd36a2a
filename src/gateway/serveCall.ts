import { match, P } from 'ts-pattern';
import type Log from '../events/Log';
import type Result from '../shared/Result';
import type AttemptOutcome from './AttemptOutcome';
import getRetryAfterMs from './getRetryAfterMs';
import type ActiveRequest from './ActiveRequest';
import type Placement from './Placement';
import type Refusal from './Refusal';
import writeRefusal from './writeRefusal';

/** Connections tried for one request before it is refused. */
const MAX_UNSENT = 4;
/** A request that has waited this long for turns is late elsewhere too. */
const MAX_TURN_SPENT_MS = 150;
/** Times that a request which upstreams did not run is offered again. */
const MAX_NOT_RUN = 3;
const RETRY_AFTER_MS = 300;
const BAD_GATEWAY = 502;
const GATEWAY_TIMEOUT = 504;

interface ServeHost {
  now(): number;
  /** Finds a place, waiting for a load where that is in time, unless it must be had at once. */
  place(
    job: ActiveRequest,
    avoid: ReadonlySet<string>,
    isAtOnce: boolean,
  ): Promise<Result<Placement, Refusal>>;
  attempt(job: ActiveRequest, place: Placement, isLast: boolean): Promise<AttemptOutcome>;
  /** Takes one repeat from the shared budget. */
  tryRetry(now: number, service: string): boolean;
  /** A number from 0 to 1. */
  random(): number;
  countRetry(reason: string): void;
  log: Log;
}

type End =
  | { kind: 'answered'; status: number }
  | { kind: 'refused'; status: number; reason: string; seen?: unknown }
  | { kind: 'failed'; status: number; reason: string }
  | { kind: 'cut'; reason: string }
  | { kind: 'callerLeft' };

/** Brings one request to its end: places it, sends it, and once more where that is safe. */
export default async function serveCall(host: ServeHost, job: ActiveRequest): Promise<End> {
  const avoid = new Set<string>();
  let sent = 0;
  let unsent = 0;
  let notRun = 0;
  let isAtOnce = false;
  const isRepeatable =
    job.route.kind === 'idempotent' || (job.route.kind === 'stream' && job.route.isResumable);

  for (;;) {
    const placed = await host.place(job, avoid, isAtOnce);
    if (job.isCallerGone) {
      return { kind: 'callerLeft' };
    }
    if (!placed.ok) {
      return sent > notRun ? giveUp('noPlaceLeft') : refuse(placed.error);
    }
    const place = placed.value;

    const outcome = await host.attempt(job, place, sent + 1 - notRun >= job.route.attempts);
    if (outcome.kind !== 'notSent') {
      sent += 1;
    }
    const decision = decide(outcome, place);
    if (decision !== 'again') {
      return decision;
    }
    host.countRetry(outcome.kind);
    host.log('requestRetried', {
      request: job.call.id,
      upstream: place.upstream.id,
      cause: outcome.kind,
      reason: 'reason' in outcome ? outcome.reason : undefined,
      sent,
      leftMs: Math.round(job.deadlineAt - host.now()),
    });
  }

  function decide(outcome: AttemptOutcome, place: Placement): End | 'again' {
    return match<AttemptOutcome, End | 'again'>(outcome)
      .with({ kind: 'done' }, ({ status }) => ({ kind: 'answered', status }))
      .with({ kind: 'callerLeft' }, () => ({ kind: 'callerLeft' }))
      .with({ kind: 'notSent', reason: 'noTurn' }, () => {
        unsent += 1;
        avoid.add(place.upstream.id);
        isAtOnce = true;
        if (unsent < MAX_UNSENT && job.turnMs < MAX_TURN_SPENT_MS) {
          return 'again';
        }
        return sent > notRun
          ? giveUp('busy')
          : refuse({ kind: 'busy', retryAfterMs: getRetryAfterMs(host.random()) });
      })
      .with({ kind: 'notSent' }, ({ reason }) => {
        unsent += 1;
        if (reason !== 'noConnection') {
          avoid.add(place.upstream.id);
        }
        const canTry = unsent < MAX_UNSENT && reason !== 'noConnection';
        return canTry ? 'again' : endUnsent();
      })
      .with({ kind: 'notRun' }, () => {
        notRun += 1;
        avoid.add(place.upstream.id);
        return notRun < MAX_NOT_RUN && mayRepeat() ? 'again' : endUnsent();
      })
      .with({ kind: 'failed' }, ({ head, body }) => {
        if (isRepeatable && hasAttempt() && mayRepeat()) {
          avoid.add(place.upstream.id);
          return 'again';
        }
        if (job.isHeadWritten) {
          return cut('failedMidway');
        }
        job.reply.writeHead(head.status, head.headers);
        job.reply.end(body);
        return { kind: 'answered', status: head.status };
      })
      .with({ kind: P.union('lost', 'broken', 'silent') }, (fault) => {
        avoid.add(place.upstream.id);
        return isRepeatable && hasAttempt() && mayRepeat() ? 'again' : giveUp(fault.kind);
      })
      .with({ kind: 'deadline' }, () => giveUp('deadline'))
      .exhaustive();
  }

  function hasAttempt(): boolean {
    return sent - notRun < job.route.attempts;
  }

  function mayRepeat(): boolean {
    return host.tryRetry(host.now(), job.service);
  }

  /** Ends a request that the last upstream did not run: refused if no other one may have. */
  function endUnsent(): End {
    return sent > notRun
      ? giveUp('noUpstream')
      : refuse({ kind: 'noUpstream', retryAfterMs: RETRY_AFTER_MS });
  }

  function refuse(refusal: Refusal): End {
    if (job.isHeadWritten) {
      return cut(refusal.kind);
    }
    const seen = 'seen' in refusal ? refusal.seen : undefined;
    return {
      kind: 'refused',
      status: writeRefusal(job.reply, refusal),
      reason: refusal.kind,
      seen,
    };
  }

  /** Ends a request that may have run. */
  function giveUp(reason: string): End {
    if (job.isHeadWritten) {
      return cut(reason);
    }
    const status = reason === 'deadline' ? GATEWAY_TIMEOUT : BAD_GATEWAY;
    const body = Buffer.from(JSON.stringify({ error: { code: reason, ran: 'unknown' } }));
    job.reply.writeHead(status, [
      ['content-type', 'application/json'],
      ['content-length', String(body.length)],
    ]);
    job.reply.end(body);
    return { kind: 'failed', status, reason };
  }

  function cut(reason: string): End {
    job.reply.cut();
    return { kind: 'cut', reason };
  }
}
