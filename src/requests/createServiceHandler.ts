import { createHash } from 'node:crypto';
import type { Context } from 'hono';
import type createCalls from '../calls/createCalls';
import type RequestError from '../completions/RequestError';
import createRetryBudget from '../completions/createRetryBudget';
import type Metrics from '../metrics/Metrics';
import type Result from '../shared/Result';
import type Clock from '../shared/Clock';
import type Table from '../table/Table';
import type UpstreamRow from '../table/UpstreamRow';
import type ServiceResponse from '../upstream/ServiceResponse';
import type ServiceError from '../upstream/ServiceError';
import type ServiceClient from '../upstream/ServiceClient';
import createLimiter from './createLimiter';
import type EntryContext from './EntryContext';
import getRefusal from './getRefusal';

type ServiceRow = Extract<UpstreamRow, { kind: 'service' }>;

const KEY_PATTERN = /^[\w.:-]{1,128}$/;
const RETRY_AFTER_MS = 1000;
const SAFE_METHODS = new Set(['GET', 'HEAD']);

interface ServiceHost extends Clock {
  services: ServiceClient;
  enter(): () => void;
  isLeaving(address: string): boolean;
  /** This VM's part of the limits that hold for all entry VMs together. */
  getShare(): number;
}

/** Handles calls of plain services; those that may not be repeated run at most once. */
export default function createServiceHandler(
  host: ServiceHost,
  parts: { table: Table; calls: ReturnType<typeof createCalls>; metrics: Metrics },
  options: { dataCentre: string; timeoutMs: number },
) {
  const { table, calls, metrics } = parts;
  const inFlight = new Map<string, number>();
  const retries = createRetryBudget();
  const limiter = createLimiter();

  /** The service's upstreams that take new work: those nearby first, then the least busy. */
  function getRows(service: string): ServiceRow[] {
    const distance = (row: ServiceRow) => (row.dataCentre === options.dataCentre ? 0 : 1);
    return table
      .getRows('upstreams')
      .map((row) => row.value as UpstreamRow)
      .filter((row): row is ServiceRow => row.kind === 'service' && row.service === service)
      .sort(
        (left, right) =>
          distance(left) - distance(right) ||
          (inFlight.get(left.address) ?? 0) - (inFlight.get(right.address) ?? 0),
      );
  }

  return async function handle(context: Context<EntryContext>): Promise<Response> {
    metrics.requests.inc({ kind: 'service' });
    const { name, rest } = context.req.param() as { name: string; rest: string };
    const path = `/${rest ?? ''}`;
    const rows = getRows(name);
    if (rows.length === 0) {
      return getRefusal('unknownService', 'no', 0, name);
    }
    const client = context.get('client');
    const isIdempotent = isIdempotentCall(rows[0], context.req.method, path);
    const key = context.req.header('idempotency-key');
    if (!isIdempotent && (key === undefined || !KEY_PATTERN.test(key))) {
      return getRefusal('keyMissing');
    }
    const ran = isIdempotent ? 'no' : 'unknown';
    const verdict = limiter.tryTake(host.now(), [
      { subject: client.team!, limits: getLimits(client.team!) },
    ]);
    if (verdict.kind === 'refused') {
      return getRefusal(verdict.reason, ran, verdict.retryAfterMs);
    }
    const leave = host.enter();
    retries.recordRequest();
    const order = {
      id: context.get('requestId'),
      method: context.req.method,
      path: path + new URL(context.req.url).search,
      contentType: context.req.header('content-type') ?? 'application/json',
      body: context.get('text'),
      timeoutMs: options.timeoutMs,
    };
    const outcome = isIdempotent
      ? await repeat(rows, order)
      : await runOnce(rows, order, client.team!, key!);
    verdict.release();
    leave();
    if (!outcome.ok) {
      const { reason, ran: hasRun, retryAfterMs, detail } = outcome.error;
      return getRefusal(reason, hasRun, retryAfterMs, detail);
    }
    metrics.answers.inc({ kind: 'service' });
    const { status, contentType, body } = outcome.value;
    return new Response(body, { status, headers: { 'content-type': contentType } });
  };

  function getLimits(team: string) {
    const limits = table.tryGetValue('teams', team)?.limits ?? {};
    const share = host.getShare();
    return {
      requestsPerSecond: limits.requestsPerSecond && limits.requestsPerSecond * share,
      inFlight: limits.inFlight && Math.max(1, Math.floor(limits.inFlight * share)),
    };
  }

  function runOnce(
    rows: ServiceRow[],
    order: Parameters<ServiceClient['call']>[1],
    team: string,
    key: string,
  ): Promise<Result<ServiceResponse, RequestError>> {
    const fingerprint = createHash('sha256')
      .update([order.method, order.path, order.body].join('\n'))
      .digest('hex');
    return calls.run({ team, key, fingerprint, send: () => sendWhileNotSent(rows, order) });
  }

  /** Tries upstreams in turn, but never one after a byte may have left for another. */
  async function sendWhileNotSent(
    rows: ServiceRow[],
    order: Parameters<ServiceClient['call']>[1],
  ): Promise<Result<ServiceResponse, ServiceError>> {
    let answer: Result<ServiceResponse, ServiceError> = {
      ok: false,
      error: { kind: 'notSent', reason: 'every upstream is leaving' },
    };
    const usable = rows.filter((row) => !host.isLeaving(row.address));

    for (const row of usable) {
      answer = await send(row, order);
      if (answer.ok || answer.error.kind !== 'notSent') {
        return answer;
      }
      metrics.retries.inc({ reason: 'notSent' });
    }
    return answer;
  }

  async function repeat(
    rows: ServiceRow[],
    order: Parameters<ServiceClient['call']>[1],
  ): Promise<Result<ServiceResponse, RequestError>> {
    let ran: 'no' | 'unknown' = 'no';
    const usable = rows.filter((row) => !host.isLeaving(row.address));

    for (const row of [...usable, ...usable]) {
      const answer = await send(row, order);
      if (answer.ok) {
        return answer;
      }
      ran = answer.error.kind === 'notSent' ? ran : 'unknown';
      if (!retries.tryTake()) {
        break;
      }
      metrics.retries.inc({ reason: answer.error.kind });
    }
    const reason = ran === 'no' ? 'upstreamFailed' : 'upstreamSilent';
    return { ok: false, error: { reason, ran, retryAfterMs: RETRY_AFTER_MS } };
  }

  async function send(row: ServiceRow, order: Parameters<ServiceClient['call']>[1]) {
    inFlight.set(row.address, (inFlight.get(row.address) ?? 0) + 1);
    const answer = await host.services.call(row.address, order);
    inFlight.set(row.address, inFlight.get(row.address)! - 1);
    return answer;
  }
}

function isIdempotentCall(row: ServiceRow, method: string, path: string): boolean {
  if (SAFE_METHODS.has(method)) {
    return true;
  }
  return row.idempotentCalls.some((entry) => {
    const [entryMethod, prefix] = entry.split(' ');
    return entryMethod === method && path.startsWith(prefix ?? '/');
  });
}
