import { match } from 'ts-pattern';
import type Log from '../events/Log';
import type Members from '../members/Members';
import type Message from '../mesh/Message';
import type Metrics from '../metrics/Metrics';
import type KeyValue from '../keyValue/KeyValue';
import createPool from '../pool/createPool';
import createValuePolicy from '../pool/createValuePolicy';
import type PoolAction from '../pool/PoolAction';
import type PoolOptions from '../pool/PoolOptions';
import createLimiter from '../requests/createLimiter';
import runPeriodically from '../shared/runPeriodically';
import rankByRendezvous from '../shared/rankByRendezvous';
import type Clock from '../shared/Clock';
import type Table from '../table/Table';
import type UpstreamRow from '../table/UpstreamRow';
import type EngineClient from '../upstream/EngineClient';
import getPoolName from './getPoolName';
import createAnnouncer from './createAnnouncer';
import createInspections from './createInspections';
import createEngineCommands from './createEngineCommands';
import createOwnerRecords from './createOwnerRecords';
import createWithdrawals from './createWithdrawals';
import type OwnerRecord from './OwnerRecord';
import type Ownership from './Ownership';
import type Residency from './Residency';

type PoolRequestFields = Extract<Message, { kind: 'ask' }>['ask'];
type EngineRow = Extract<UpstreamRow, { kind: 'engine' }>;

const RECONCILE_INTERVAL_MS = 800;
const TICK_INTERVAL_MS = 100;
const INSPECTION_INTERVAL_MS = 1000;
const LOADS_BLOCKED_AFTER_CLAIM_MS = 1000;
const UNREPORTED_GRANT_TIMEOUT_MS = 4000;
const IDLE_REMOVAL_INTERVAL_MS = 60_000;

interface OwnersHost extends Clock {
  keyValue: KeyValue;
  engines: EngineClient;
  send(to: string, message: Message): boolean;
  /** Delivers a message that this VM sends to itself. */
  deliver(message: Message): void;
  log: Log;
}

/**
 * Claims pools of engines for this VM and runs the pools that it owns: grants requests, loads and
 * evicts adapters. A record with a fencing number in the key-value service determines which entry
 * VM owns a pool.
 */
export default function createOwners(
  host: OwnersHost,
  parts: { members: Members; table: Table; residency: Residency; metrics: Metrics },
  options: { address: string; pool: PoolOptions },
) {
  const { members, table, residency, metrics } = parts;
  const owned = new Map<string, Ownership>();
  const records = createOwnerRecords(host.keyValue);
  const withdrawals = createWithdrawals(host, parts, options);
  const announcer = createAnnouncer(host, parts, options);
  const limiter = createLimiter();
  const poolsBeingClaimed = new Set<string>();
  const inspections = createInspections(
    { ...host, execute, endOwnership, finish, evict: (...args) => engineCommands.evict(...args) },
    { members, withdrawals },
    options,
  );
  const engineCommands = createEngineCommands(
    { ...host, execute, endOwnership, ...inspections },
    { records, withdrawals, announcer, metrics },
    options,
  );
  let stopRepeaters: (() => void)[] = [];

  function start(): void {
    stopRepeaters = [
      runPeriodically(host, RECONCILE_INTERVAL_MS, reconcilePools),
      runPeriodically(host, TICK_INTERVAL_MS, tick),
      runPeriodically(host, INSPECTION_INTERVAL_MS, inspect),
      runPeriodically(host, IDLE_REMOVAL_INTERVAL_MS, () =>
        owned.forEach(({ pool }) => pool.removeIdleDemand(host.now())),
      ),
    ];
  }

  function getEngineRowsByPool(): Map<string, Map<string, EngineRow>> {
    const pools = new Map<string, Map<string, EngineRow>>();
    table.getRows('upstreams').forEach((row) => {
      const value = row.value as UpstreamRow;
      if (value.kind === 'engine') {
        const pool = getPoolName(value.baseModel);
        const rows = pools.get(pool) ?? new Map<string, EngineRow>();
        pools.set(pool, rows.set(row.name, value));
      }
    });
    return pools;
  }

  async function reconcilePools(): Promise<void> {
    if (!(await records.readAll())) {
      return;
    }
    const pools = getEngineRowsByPool();
    // All pools load from one weight store, so each owner uses an equal share of its rate.
    owned.forEach(({ pool }) => pool.setLoadRate(options.pool.loadsPerSecond / pools.size));
    await Promise.all([...pools.keys()].map((name) => reconcile(name, pools.get(name)!)));
    owned.forEach((ownership) => {
      if (!pools.has(ownership.name)) {
        endOwnership(ownership);
      }
    });
  }

  async function reconcile(name: string, rows: Map<string, EngineRow>): Promise<void> {
    const stored = records.tryGet(name);
    const ownership = owned.get(name);
    if (ownership && stored && stored.record.fence > ownership.fence) {
      endOwnership(ownership);
    }
    if (owned.has(name) || poolsBeingClaimed.has(name) || members.isLeaving()) {
      return;
    }
    poolsBeingClaimed.add(name);
    const isRecordStale = (residency.tryGetPool(name)?.fence ?? 0) > (stored?.record.fence ?? 0);
    if (stored?.record.owner === options.address && !isRecordStale) {
      await acquireOwnership(name, rows, stored.record, stored.revision);
    } else if (shouldClaim(name, stored?.record)) {
      await claim(name, rows, stored);
    }
    poolsBeingClaimed.delete(name);
  }

  function shouldClaim(name: string, record: OwnerRecord | undefined): boolean {
    const now = host.now();
    if (!members.canDeclareDead(now) || (record && members.isAlive(now, record.owner))) {
      return false;
    }
    return rankByRendezvous(name, members.getServing(now))[0] === options.address;
  }

  async function claim(
    name: string,
    rows: Map<string, EngineRow>,
    stored: { record: OwnerRecord; revision: number } | undefined,
  ): Promise<void> {
    const record: OwnerRecord = {
      owner: options.address,
      fence: (stored?.record.fence ?? 0) + 1,
      intents: stored?.record.intents ?? [],
    };
    const revision = await records.tryWrite(name, record, stored?.revision ?? 0);
    if (revision !== undefined) {
      await acquireOwnership(name, rows, record, revision);
    }
  }

  async function acquireOwnership(
    name: string,
    rows: Map<string, EngineRow>,
    record: OwnerRecord,
    revision: number,
  ): Promise<void> {
    const now = host.now();
    const { fence } = record;
    const pool = createPool(options.pool, createValuePolicy(), (model) => `${model}#${fence}`);
    pool.blockLoadsUntil(now + LOADS_BLOCKED_AFTER_CLAIM_MS);
    const ownership: Ownership = {
      name,
      fence,
      revision,
      intents: record.intents,
      pool,
      rows: new Map(),
      requesters: new Map(),
      bootIds: new Map(),
      failedReports: new Map(),
      duplicateNames: new Map(),
      sequence: 0,
      lastFullAnnouncements: new Map(),
      lastAnnouncedNames: new Map(),
      isAnnouncementScheduled: false,
      isEnded: false,
      recordWrites: Promise.resolve(),
    };
    await Promise.all([...rows].map(([id, row]) => inspections.adoptEngine(ownership, id, row)));
    if (ownership.isEnded) {
      return;
    }
    owned.set(name, ownership);
    host.log('ownershipTaken', { pool: name, fence });
    announcer.announce(ownership);
  }

  /**
   * Removes engines without a row in the table, and reads the reports of the others to detect
   * restarts, leaving engines and engines that do not respond.
   */
  async function inspect(): Promise<void> {
    const pools = getEngineRowsByPool();
    const checks = [...owned.values()].flatMap((ownership) => {
      const rows = pools.get(ownership.name) ?? new Map<string, EngineRow>();
      [...ownership.rows.keys()]
        .filter((id) => !rows.has(id))
        .forEach((id) => {
          ownership.rows.delete(id);
          ownership.pool.removeEngine(host.now(), id);
        });
      return [...rows].map(([id, row]) => inspections.inspectEngine(ownership, id, row));
    });
    await Promise.all(checks);
    owned.forEach(inspections.releaseOrphanedGrants);
  }

  function tick(): void {
    const now = host.now();
    owned.forEach((ownership) => {
      execute(ownership, ownership.pool.tick(now));
      metrics.pins.set({ pool: ownership.name }, ownership.pool.getGrantCount());
      metrics.queue.set({ pool: ownership.name }, ownership.pool.getWaitingCount());
      metrics.loadsInFlight.set({ pool: ownership.name }, ownership.pool.getLoadsInFlight());
      announcer.sendDueFullAnnouncements(now, ownership);
    });
  }

  /** Handles a placement request from any entry VM, including this one. */
  function receiveRequest(from: string, poolName: string, request: PoolRequestFields): void {
    const now = host.now();
    const ownership = owned.get(poolName);
    if (!ownership || members.isLeaving()) {
      reply(from, { kind: 'refused', id: request.id, reason: 'notOwner', retryAfterMs: 0 });
      return;
    }
    if (ownership.requesters.has(request.id)) {
      resendGrant(ownership, from, request.id);
      return;
    }
    const adapter = table.tryGetValue('adapters', request.adapter);
    const decision = limiter.tryAcquire(now, [
      { subject: `adapter ${request.adapter}`, limits: adapter?.limits ?? {} },
      {
        subject: `team ${request.team}`,
        limits: table.tryGetValue('teams', request.team)?.limits ?? {},
      },
    ]);
    if (decision.kind === 'refused') {
      const { reason, retryAfterMs } = decision;
      reply(from, { kind: 'refused', id: request.id, reason, retryAfterMs });
      return;
    }
    ownership.requesters.set(request.id, { from, release: decision.release, at: now });
    const { startWithinMs, adapter: name, version, ...rest } = request;
    const poolRequest = {
      ...rest,
      model: `${name}@${version}`,
      arrivedAt: now,
      startBy: now + startWithinMs,
    };
    execute(ownership, ownership.pool.submit(now, poolRequest, adapter?.limits.queue));
  }

  function resendGrant(ownership: Ownership, to: string, id: string): void {
    const grant = ownership.pool.tryGetGrant(id);
    if (grant) {
      const { engine, name } = grant;
      const { fence, name: pool } = ownership;
      reply(to, { kind: 'granted', id, pool, fence, engine, name });
    }
  }

  function finish(poolName: string, id: string): void {
    const ownership = owned.get(poolName);
    if (!ownership) {
      return;
    }
    ownership.requesters.get(id)?.release();
    ownership.requesters.delete(id);
    execute(ownership, ownership.pool.cancel(host.now(), id));
  }

  /**
   * Releases the grants that VM `from` does not list as held: the message that they are finished
   * was lost.
   */
  function receiveHeldGrants(from: string, poolName: string, ids: string[]): void {
    const ownership = owned.get(poolName);
    const held = new Set(ids);
    const now = host.now();
    ownership?.requesters.forEach((requester, id) => {
      if (
        requester.from === from &&
        !held.has(id) &&
        now - requester.at > UNREPORTED_GRANT_TIMEOUT_MS
      ) {
        finish(poolName, id);
      }
    });
  }

  function execute(ownership: Ownership, actions: PoolAction[]): void {
    actions.forEach((action) =>
      match(action)
        .with({ kind: 'grant' }, ({ request, engine, name }) => {
          const { fence, name: pool } = ownership;
          const grantedEngine = ownership.pool.view.engines.get(engine)!;
          metrics.batchFill.observe(grantedEngine.running / grantedEngine.batchSize);
          const to = ownership.requesters.get(request.id)?.from ?? options.address;
          ownership.requesters.get(request.id)!.at = host.now();
          reply(to, { kind: 'granted', id: request.id, pool, fence, engine, name });
        })
        .with({ kind: 'refuse' }, ({ request, reason, retryAfterMs }) => {
          const requester = ownership.requesters.get(request.id);
          requester?.release();
          ownership.requesters.delete(request.id);
          const to = requester?.from ?? options.address;
          reply(to, { kind: 'refused', id: request.id, reason, retryAfterMs });
        })
        .with({ kind: 'load' }, ({ engine, name, model }) => {
          engineCommands.load(ownership, engine, name, model);
        })
        .with({ kind: 'evict' }, ({ engine, name }) => {
          engineCommands.evict(ownership, engine, name);
        })
        .exhaustive(),
    );
    if (actions.some(({ kind }) => kind === 'load' || kind === 'evict')) {
      announcer.scheduleAnnouncement(ownership);
    }
  }

  /** Drops an adapter that the engine of a grant turned out not to hold, and rereads the engine. */
  async function receiveMissingAdapter(
    poolName: string,
    engine: string,
    name: string,
  ): Promise<void> {
    const ownership = owned.get(poolName);
    if (ownership?.rows.has(engine)) {
      execute(ownership, ownership.pool.dropAdapter(host.now(), engine, name));
      await inspections.rereadEngine(ownership, engine);
    }
  }

  /**
   * Ends the ownership of a pool, and refuses waiting requests, so that the new owner gets them.
   */
  function endOwnership(ownership: Ownership): void {
    if (ownership.isEnded) {
      return;
    }
    ownership.isEnded = true;
    owned.delete(ownership.name);
    host.log('ownershipLost', { pool: ownership.name, fence: ownership.fence });
    ownership.requesters.forEach(({ from, release }, id) => {
      release();
      if (!ownership.pool.tryGetGrant(id)) {
        reply(from, { kind: 'refused', id, reason: 'notOwner', retryAfterMs: 0 });
      }
    });
    metrics.pins.remove({ pool: ownership.name });
    metrics.queue.remove({ pool: ownership.name });
    metrics.loadsInFlight.remove({ pool: ownership.name });
  }

  /** Before a planned stop, transfers every owned pool to the VM that would claim it. */
  async function handOver(): Promise<void> {
    const now = host.now();
    await Promise.all(
      [...owned.values()].map(async (ownership) => {
        const [successor] = rankByRendezvous(ownership.name, members.getServing(now));
        await ownership.recordWrites;
        const record = {
          owner: successor ?? options.address,
          fence: ownership.fence + 1,
          intents: ownership.intents,
        };
        const revision = successor
          ? await records.tryWrite(ownership.name, record, ownership.revision)
          : undefined;
        endOwnership(ownership);
        if (revision !== undefined) {
          host.log('ownershipHandedOver', { pool: ownership.name, to: successor });
          host.send(successor, { kind: 'handover', pool: ownership.name });
        }
      }),
    );
  }

  function reply(to: string, message: Message): void {
    if (to === options.address) {
      host.deliver(message);
    } else {
      host.send(to, message);
    }
  }

  function stop(): void {
    stopRepeaters.forEach((end) => end());
  }

  return {
    start,
    stop,
    reconcilePools,
    receiveRequest,
    receiveHeldGrants,
    receiveWithdrawn: withdrawals.handleReply,
    receiveMissingAdapter,
    finish,
    handOver,
    /** Ends the ownership of a pool for which another VM announced a higher fencing number. */
    handleFence: (pool: string, fence: number) => {
      const ownership = owned.get(pool);
      if (ownership && fence > ownership.fence) {
        endOwnership(ownership);
      }
    },
    isOwner: (pool: string) => owned.has(pool),
    getRecordedOwner: (pool: string) => records.tryGet(pool)?.record.owner,
    getOwned: () =>
      [...owned.values()].map(({ name, fence, pool }) => ({
        pool: name,
        fence,
        waiting: pool.getWaitingCount(),
        granted: pool.getGrantCount(),
        loadsInFlight: pool.getLoadsInFlight(),
        engines: [...pool.view.engines.values()].map((engine) => ({
          engine: engine.id,
          usable: engine.usable,
          running: engine.running,
          batchSize: engine.batchSize,
          resident: [...engine.resident.values()].map((slot) => `${slot.name} (${slot.state})`),
        })),
      })),
  };
}
