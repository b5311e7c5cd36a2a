import { Hono } from 'hono';
import type createCalls from '../calls/createCalls';
import type createCompletions from '../completions/createCompletions';
import type EntryHost from '../entry/EntryHost';
import type EntryOptions from '../entry/EntryOptions';
import type Members from '../members/Members';
import type Metrics from '../metrics/Metrics';
import createTableRoutes from '../operators/createTableRoutes';
import type Owners from '../owners/Owners';
import type Residency from '../owners/Residency';
import createAuthenticateFilter from '../requests/createAuthenticateFilter';
import createAuthenticator from '../requests/createAuthenticator';
import createBodyFilter from '../requests/createBodyFilter';
import createCompletionHandler from '../requests/createCompletionHandler';
import createServiceHandler from '../requests/createServiceHandler';
import createTrustFilter from '../requests/createTrustFilter';
import createWhereHandler from '../requests/createWhereHandler';
import type EntryContext from '../requests/EntryContext';
import createRefusalResponse from '../requests/createRefusalResponse';
import type Table from '../table/Table';
import type TableController from '../table/TableController';

const OPERATOR_BODY_FACTOR = 16;

interface AppHost extends EntryHost {
  /** Counts a request as in flight. The returned function ends it. */
  beginRequest(): () => void;
  /** Returns the number of requests in flight on this VM. */
  getInFlight(): number;
}

/**
 * Creates the routes and their filter chain: assign a request id, authenticate, read the body,
 * check that the table may be used to serve requests, handle.
 */
export default function createApp(
  host: AppHost,
  parts: {
    table: Table;
    tableController: TableController;
    members: Members;
    owners: Owners;
    residency: Residency;
    completions: ReturnType<typeof createCompletions>;
    calls: ReturnType<typeof createCalls>;
    metrics: Metrics;
  },
  options: EntryOptions,
): Hono<EntryContext> {
  const { table, tableController, members, owners, residency, metrics } = parts;
  const app = new Hono<EntryContext>();
  const tryAuthenticate = createAuthenticator(table, options.rootToken);
  const authenticateCaller = createAuthenticateFilter(tryAuthenticate, ['caller']);
  const authenticateOperator = createAuthenticateFilter(tryAuthenticate, ['operator']);
  const authenticateAny = createAuthenticateFilter(tryAuthenticate, ['caller', 'operator']);
  const bodyLimits = { maxBytes: options.maxBodyBytes, timeoutMs: options.bodyTimeoutMs };
  const readBody = createBodyFilter(host, bodyLimits, host.bodyAccount);
  const readLargeBody = createBodyFilter(
    host,
    { ...bodyLimits, maxBytes: options.maxBodyBytes * OPERATOR_BODY_FACTOR },
    host.bodyAccount,
  );
  const requireTrustedTable = createTrustFilter(() => tableController.isTrusted(host.now()));

  app.use(async (context, next) => {
    context.set('requestId', host.createNonce());
    context.set('receivedAt', host.now());
    context.set('ran', 'no');
    await next();
    await countRefusal(context.res, metrics);
    context.res.headers.set('x-request-id', context.get('requestId'));
  });
  app.notFound(() => createRefusalResponse('notFound'));
  app.onError((error, context) => {
    host.log('unexpected', { request: context.get('requestId'), error: error.stack });
    return createRefusalResponse('upstreamFailed', 'unknown');
  });

  app.get('/healthz', (context) => context.json({ alive: true }));
  app.get('/readyz', (context) => {
    const ready = tableController.isTrusted(host.now()) && !members.isLeaving();
    return context.json({ ready }, ready ? 200 : 503);
  });
  app.get('/metrics', async () => {
    const text = await metrics.registry.metrics();
    return new Response(text, { headers: { 'content-type': metrics.registry.contentType } });
  });

  app.get(
    '/v1/where',
    authenticateAny,
    requireTrustedTable,
    createWhereHandler(host, { members, table }, { ...options, validForMs: options.handedOutMs }),
  );
  (['/v1/chat/completions', '/v1/completions'] as const).forEach((path) =>
    app.post(
      path,
      authenticateCaller,
      readBody,
      requireTrustedTable,
      createCompletionHandler(
        host,
        { table, completions: parts.completions, metrics },
        { path, deadlinesMs: options.deadlinesMs },
      ),
    ),
  );
  app.all(
    '/v1/services/:name/:rest{.*}',
    authenticateCaller,
    async (context, next) => {
      context.set('ran', context.req.header('idempotency-key') === undefined ? 'no' : 'unknown');
      return next();
    },
    readBody,
    requireTrustedTable,
    createServiceHandler(
      {
        ...host,
        isLeaving: (address) => members.getUpstreamStates().get(address) === 'leaving',
        getLimitShare: () => 1 / Math.max(1, members.getServing(host.now()).length),
      },
      { table, calls: parts.calls, metrics },
      { dataCentre: options.dataCentre, timeoutMs: options.serviceTimeoutMs },
    ),
  );

  app.use('/v1/table/*', authenticateOperator, readLargeBody);
  app.get('/v1/table/inforce', (context) => {
    const revision = Number(context.req.query('revision') ?? table.getRevision());
    if (!Number.isInteger(revision) || revision < 0) {
      return createRefusalResponse('badRequest', 'no', 0, 'revision: expected a whole number');
    }
    const vms = getTableRevisions().map((vm) => ({ ...vm, applied: vm.tableRevision >= revision }));
    return context.json({ revision, everywhere: vms.every((vm) => vm.applied), vms });
  });
  app.route('/v1/table', createTableRoutes({ table, controller: tableController, log: host.log }));
  app.get('/v1/status', authenticateOperator, (context) => {
    const now = host.now();
    return context.json({
      address: options.address,
      members: members.getMembers().map((member) => ({
        address: member.address,
        state: member.state,
        dataCentre: member.dataCentre,
        heard: members.hasRecentHeartbeat(now, member.address),
        tableRevision: member.tableRevision,
        inFlight: member.inFlight,
      })),
      tableRevision: table.getRevision(),
      trusted: tableController.isTrusted(now),
      inFlight: host.getInFlight(),
      pools: residency.getPools(),
      owned: owners.getOwned(),
    });
  });

  /** Returns the table revision of this VM and of each member that is not gone. */
  function getTableRevisions() {
    const now = host.now();
    const peerRevisions = members
      .getMembers()
      .filter((member) => !members.isGone(now, member.address))
      .map(({ address, tableRevision }) => ({ address, tableRevision }));
    return [{ address: options.address, tableRevision: table.getRevision() }, ...peerRevisions];
  }

  return app;
}

/** Counts a response in the metrics by its error code, if it is a refusal. */
async function countRefusal(response: Response, metrics: Metrics): Promise<void> {
  if (response.status < 400 || !response.headers.get('content-type')?.includes('json')) {
    return;
  }
  const body = (await response.clone().json()) as { error?: { code?: string } };
  if (body.error?.code) {
    metrics.refusals.inc({ reason: body.error.code });
  }
}
