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
import createRepeater from '../shared/createRepeater';
import rankByRendezvous from '../shared/rankByRendezvous';
import type Clock from '../shared/Clock';
import type Table from '../table/Table';
import type UpstreamRow from '../table/UpstreamRow';
import type EngineClient from '../upstream/EngineClient';
import getPoolName from './getPoolName';
import createAnnouncer from './createAnnouncer';
import createInspections from './createInspections';
import createOrders from './createOrders';
import createOwnerRecords from './createOwnerRecords';
import createWithdrawals from './createWithdrawals';
import type OwnerRecord from './OwnerRecord';
import type Ownership from './Ownership';
import type Residency from './Residency';

type Ask = Extract<Message, { kind: 'ask' }>['ask'];
type EngineRow = Extract<UpstreamRow, { kind: 'engine' }>;

const OBSERVE_PAUSE_MS = 800;
const TICK_PAUSE_MS = 100;
const INSPECT_PAUSE_MS = 1000;
const LOADS_BLOCKED_AFTER_CLAIM_MS = 1000;
const GRANT_UNREPORTED_MS = 4000;
const IDLE_FORGET_PAUSE_MS = 60_000;

interface OwnersHost extends Clock {
  keyValue: KeyValue;
  engines: EngineClient;
  send(to: string, message: Message): boolean;
  /** Delivers a message that this VM sends to itself. */
  deliver(message: Message): void;
  log: Log;
}

/**
 * Decides which entry VM owns which pool of engines, and carries out the decisions for the pools
 * that this VM owns. A record on the platform with a fencing number makes ownership certain.
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
  const claiming = new Set<string>();
  const inspections = createInspections(
    { ...host, execute, endOwnership, finish, evict: (...order) => orders.evict(...order) },
    { members, withdrawals },
    options,
  );
  const orders = createOrders(
    { ...host, execute, endOwnership, ...inspections },
    { records, withdrawals, announcer, metrics },
    options,
  );
  let stops: (() => void)[] = [];

  function start(): void {
    stops = [
      createRepeater(host, OBSERVE_PAUSE_MS, reconcilePools),
      createRepeater(host, TICK_PAUSE_MS, tick),
      createRepeater(host, INSPECT_PAUSE_MS, inspect),
      createRepeater(host, IDLE_FORGET_PAUSE_MS, () =>
        owned.forEach(({ pool }) => pool.removeIdleDemand(host.now())),
      ),
    ];
  }

  function getPoolRows(): Map<string, Map<string, EngineRow>> {
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
    const pools = getPoolRows();
    // The store is shared by all pools: each owner keeps to an equal part of its rate.
    owned.forEach(({ pool }) => pool.setLoadRate(options.pool.loadsPerSecond / pools.size));
    await Promise.all([...pools.keys()].map((name) => reconcile(name, pools.get(name)!)));
    owned.forEach((ownership) => {
      if (!pools.has(ownership.name)) {
        endOwnership(ownership);
      }
    });
  }

  async function reconcile(name: string, rows: Map<string, EngineRow>): Promise<void> {
    const known = records.tryGet(name);
    const ownership = owned.get(name);
    if (ownership && known && known.record.fence > ownership.fence) {
      endOwnership(ownership);
    }
    if (owned.has(name) || claiming.has(name) || members.isLeaving()) {
      return;
    }
    claiming.add(name);
    const isOutdated = (residency.tryGetPool(name)?.fence ?? 0) > (known?.record.fence ?? 0);
    if (known?.record.owner === options.address && !isOutdated) {
      await takeOver(name, rows, known.record, known.revision);
    } else if (shouldClaim(name, known?.record)) {
      await claim(name, rows, known);
    }
    claiming.delete(name);
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
    known: { record: OwnerRecord; revision: number } | undefined,
  ): Promise<void> {
    const record: OwnerRecord = {
      owner: options.address,
      fence: (known?.record.fence ?? 0) + 1,
      intents: known?.record.intents ?? [],
    };
    const revision = await records.tryWrite(name, record, known?.revision ?? 0);
    if (revision !== undefined) {
      await takeOver(name, rows, record, revision);
    }
  }

  async function takeOver(
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
      boots: new Map(),
      failures: new Map(),
      surplus: new Map(),
      sequence: 0,
      told: new Map(),
      announced: new Map(),
      isAnnouncing: false,
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

  /** Reads the engines' reports: restarts, leaving engines and engines that do not answer. */
  async function inspect(): Promise<void> {
    const pools = getPoolRows();
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
    owned.forEach(inspections.releaseVanished);
  }

  function tick(): void {
    const now = host.now();
    owned.forEach((ownership) => {
      execute(ownership, ownership.pool.tick(now));
      metrics.pins.set({ pool: ownership.name }, ownership.pool.getGrantCount());
      metrics.queue.set({ pool: ownership.name }, ownership.pool.getWaitingCount());
      metrics.loadsInFlight.set({ pool: ownership.name }, ownership.pool.getLoadsInFlight());
      announcer.tellWhereDue(now, ownership);
    });
  }

  /** Takes a request for a place from an entry VM, this one included. */
  function receiveRequest(from: string, poolName: string, ask: Ask): void {
    const now = host.now();
    const ownership = owned.get(poolName);
    if (!ownership || members.isLeaving()) {
      reply(from, { kind: 'refused', id: ask.id, reason: 'notOwner', retryAfterMs: 0 });
      return;
    }
    if (ownership.requesters.has(ask.id)) {
      repeatGrant(ownership, from, ask.id);
      return;
    }
    const adapter = table.tryGetValue('adapters', ask.adapter);
    const verdict = limiter.tryTake(now, [
      { subject: `adapter ${ask.adapter}`, limits: adapter?.limits ?? {} },
      { subject: `team ${ask.team}`, limits: table.tryGetValue('teams', ask.team)?.limits ?? {} },
    ]);
    if (verdict.kind === 'refused') {
      const { reason, retryAfterMs } = verdict;
      reply(from, { kind: 'refused', id: ask.id, reason, retryAfterMs });
      return;
    }
    ownership.requesters.set(ask.id, { from, release: verdict.release, at: now });
    const { startWithinMs, adapter: name, version, ...rest } = ask;
    const poolAsk = {
      ...rest,
      model: `${name}@${version}`,
      arrivedAt: now,
      startBy: now + startWithinMs,
    };
    execute(ownership, ownership.pool.submit(now, poolAsk, adapter?.limits.queue));
  }

  function repeatGrant(ownership: Ownership, to: string, id: string): void {
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

  /** Drops grants that their holder does not list: the word of their end was lost. */
  function receiveHeldGrants(from: string, poolName: string, ids: string[]): void {
    const ownership = owned.get(poolName);
    const held = new Set(ids);
    const now = host.now();
    ownership?.requesters.forEach((asker, id) => {
      if (asker.from === from && !held.has(id) && now - asker.at > GRANT_UNREPORTED_MS) {
        finish(poolName, id);
      }
    });
  }

  function execute(ownership: Ownership, actions: PoolAction[]): void {
    actions.forEach((action) =>
      match(action)
        .with({ kind: 'grant' }, ({ request: ask, engine, name }) => {
          const { fence, name: pool } = ownership;
          const used = ownership.pool.view.engines.get(engine)!;
          metrics.batchFill.observe(used.running / used.batchSize);
          const to = ownership.requesters.get(ask.id)?.from ?? options.address;
          ownership.requesters.get(ask.id)!.at = host.now();
          reply(to, { kind: 'granted', id: ask.id, pool, fence, engine, name });
        })
        .with({ kind: 'refuse' }, ({ request: ask, reason, retryAfterMs }) => {
          const asker = ownership.requesters.get(ask.id);
          asker?.release();
          ownership.requesters.delete(ask.id);
          const to = asker?.from ?? options.address;
          reply(to, { kind: 'refused', id: ask.id, reason, retryAfterMs });
        })
        .with({ kind: 'load' }, ({ engine, name, model }) => {
          orders.load(ownership, engine, name, model);
        })
        .with({ kind: 'evict' }, ({ engine, name }) => {
          orders.evict(ownership, engine, name);
        })
        .exhaustive(),
    );
    if (actions.some(({ kind }) => kind === 'load' || kind === 'evict')) {
      announcer.announceSoon(ownership);
    }
  }

  /** Learns from an entry VM that an engine did not hold an adapter that it was granted. */
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

  /** Stops deciding for a pool; those that wait are sent to its new owner. */
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

  /** Hands every owned pool to the VM that would claim it, before a planned stop. */
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
    stops.forEach((end) => end());
  }

  return {
    start,
    stop,
    reconcilePools,
    receiveRequest,
    receiveHeldGrants,
    receiveWithdrawn: withdrawals.receive,
    receiveMissingAdapter,
    finish,
    handOver,
    /** Ends an ownership that a newer one, heard of from its owner, has replaced. */
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
