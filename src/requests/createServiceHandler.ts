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
import createRefusalResponse from './createRefusalResponse';

type ServiceRow = Extract<UpstreamRow, { kind: 'service' }>;

const IDEMPOTENCY_KEY_PATTERN = /^[\w.:-]{1,128}$/;
const RETRY_AFTER_MS = 1000;
const SAFE_METHODS = new Set(['GET', 'HEAD']);

interface ServiceHost extends Clock {
  services: ServiceClient;
  /** Counts a request as in flight. The returned function ends it. */
  beginRequest(): () => void;
  isLeaving(address: string): boolean;
  /** Returns this VM's share (0 to 1) of the limits that apply to all entry VMs together. */
  getLimitShare(): number;
}

/** Creates a handler of calls to plain services. Non-idempotent calls run at most once. */
export default function createServiceHandler(
  host: ServiceHost,
  parts: { table: Table; calls: ReturnType<typeof createCalls>; metrics: Metrics },
  options: { dataCentre: string; timeoutMs: number },
) {
  const { table, calls, metrics } = parts;
  const inFlightByAddress = new Map<string, number>();
  const retryBudget = createRetryBudget();
  const limiter = createLimiter();

  /**
   * Returns the upstreams of a service, those in this data centre first, each group by ascending
   * number of this VM's calls in flight to them. The result includes upstreams that are leaving.
   */
  function getUpstreams(service: string): ServiceRow[] {
    const distance = (row: ServiceRow) => (row.dataCentre === options.dataCentre ? 0 : 1);
    return table
      .getRows('upstreams')
      .map((row) => row.value as UpstreamRow)
      .filter((row): row is ServiceRow => row.kind === 'service' && row.service === service)
      .sort(
        (left, right) =>
          distance(left) - distance(right) ||
          (inFlightByAddress.get(left.address) ?? 0) - (inFlightByAddress.get(right.address) ?? 0),
      );
  }

  return async function handle(context: Context<EntryContext>): Promise<Response> {
    metrics.requests.inc({ kind: 'service' });
    const { name, rest } = context.req.param() as { name: string; rest: string };
    const path = `/${rest ?? ''}`;
    const upstreams = getUpstreams(name);
    if (upstreams.length === 0) {
      return createRefusalResponse('unknownService', 'no', 0, name);
    }
    const client = context.get('client');
    const isIdempotent = isIdempotentCall(upstreams[0], context.req.method, path);
    const key = context.req.header('idempotency-key');
    if (!isIdempotent && (key === undefined || !IDEMPOTENCY_KEY_PATTERN.test(key))) {
      return createRefusalResponse('keyMissing');
    }
    const ran = isIdempotent ? 'no' : 'unknown';
    const decision = limiter.tryAcquire(host.now(), [
      { subject: client.team!, limits: getLimits(client.team!) },
    ]);
    if (decision.kind === 'refused') {
      return createRefusalResponse(decision.reason, ran, decision.retryAfterMs);
    }
    const endRequest = host.beginRequest();
    retryBudget.recordRequest();
    const request = {
      id: context.get('requestId'),
      method: context.req.method,
      path: path + new URL(context.req.url).search,
      contentType: context.req.header('content-type') ?? 'application/json',
      body: context.get('text'),
      timeoutMs: options.timeoutMs,
    };
    const result = isIdempotent
      ? await sendWithRetries(upstreams, request)
      : await sendAtMostOnce(upstreams, request, client.team!, key!);
    decision.release();
    endRequest();
    if (!result.ok) {
      const { reason, ran: callRan, retryAfterMs, detail } = result.error;
      return createRefusalResponse(reason, callRan, retryAfterMs, detail);
    }
    metrics.answers.inc({ kind: 'service' });
    const { status, contentType, body } = result.value;
    return new Response(body, { status, headers: { 'content-type': contentType } });
  };

  function getLimits(team: string) {
    const limits = table.tryGetValue('teams', team)?.limits ?? {};
    const share = host.getLimitShare();
    return {
      requestsPerSecond: limits.requestsPerSecond && limits.requestsPerSecond * share,
      inFlight: limits.inFlight && Math.max(1, Math.floor(limits.inFlight * share)),
    };
  }

  function sendAtMostOnce(
    upstreams: ServiceRow[],
    request: Parameters<ServiceClient['call']>[1],
    team: string,
    key: string,
  ): Promise<Result<ServiceResponse, RequestError>> {
    const fingerprint = createHash('sha256')
      .update([request.method, request.path, request.body].join('\n'))
      .digest('hex');
    return calls.run({
      team,
      key,
      fingerprint,
      send: () => sendToFirstReachable(upstreams, request),
    });
  }

  /**
   * Sends a call to each upstream in turn while no byte of it can have been sent. Once a byte may
   * have been sent to one upstream, the call is not sent to another.
   */
  async function sendToFirstReachable(
    upstreams: ServiceRow[],
    request: Parameters<ServiceClient['call']>[1],
  ): Promise<Result<ServiceResponse, ServiceError>> {
    let result: Result<ServiceResponse, ServiceError> = {
      ok: false,
      error: { kind: 'notSent', reason: 'every upstream is leaving' },
    };
    const available = upstreams.filter((row) => !host.isLeaving(row.address));

    for (const upstream of available) {
      result = await send(upstream, request);
      if (result.ok || result.error.kind !== 'notSent') {
        return result;
      }
      metrics.retries.inc({ reason: 'notSent' });
    }
    return result;
  }

  /**
   * Sends an idempotent call to each upstream in turn, at most twice to each and within the retry
   * budget, until one responds.
   */
  async function sendWithRetries(
    upstreams: ServiceRow[],
    request: Parameters<ServiceClient['call']>[1],
  ): Promise<Result<ServiceResponse, RequestError>> {
    let ran: 'no' | 'unknown' = 'no';
    const available = upstreams.filter((row) => !host.isLeaving(row.address));

    for (const upstream of [...available, ...available]) {
      const result = await send(upstream, request);
      if (result.ok) {
        return result;
      }
      ran = result.error.kind === 'notSent' ? ran : 'unknown';
      if (!retryBudget.tryTake()) {
        break;
      }
      metrics.retries.inc({ reason: result.error.kind });
    }
    const reason = ran === 'no' ? 'upstreamFailed' : 'upstreamSilent';
    return { ok: false, error: { reason, ran, retryAfterMs: RETRY_AFTER_MS } };
  }

  /** Sends a call to one upstream and counts it as in flight there. */
  async function send(upstream: ServiceRow, request: Parameters<ServiceClient['call']>[1]) {
    inFlightByAddress.set(upstream.address, (inFlightByAddress.get(upstream.address) ?? 0) + 1);
    const result = await host.services.call(upstream.address, request);
    inFlightByAddress.set(upstream.address, inFlightByAddress.get(upstream.address)! - 1);
    return result;
  }
}

function isIdempotentCall(upstream: ServiceRow, method: string, path: string): boolean {
  if (SAFE_METHODS.has(method)) {
    return true;
  }
  return upstream.idempotentCalls.some((allowedCall) => {
    const [allowedMethod, prefix] = allowedCall.split(' ');
    return allowedMethod === method && path.startsWith(prefix ?? '/');
  });
}
