import { match } from 'ts-pattern';
import type Log from '../events/Log';
import type Members from '../members/Members';
import type Message from '../mesh/Message';
import type Metrics from '../metrics/Metrics';
import type KeyValue from '../platform/KeyValue';
import getPrefixEnd from '../platform/getPrefixEnd';
import createPool from '../pool/createPool';
import createValuePolicy from '../pool/createValuePolicy';
import type Pool from '../pool/Pool';
import type PoolAction from '../pool/PoolAction';
import type PoolOptions from '../pool/PoolOptions';
import createLimiter from '../requests/createLimiter';
import createRepeater from '../shared/createRepeater';
import rankByRendezvous from '../shared/rankByRendezvous';
import type Time from '../shared/Time';
import type Table from '../table/Table';
import type UpstreamRow from '../table/UpstreamRow';
import type Engines from '../upstream/Engines';
import getPoolName from './getPoolName';
import OwnerRecord from './OwnerRecord';
import parseEngineName from './parseEngineName';
import type Residency from './Residency';

type Ask = Extract<Message, { kind: 'ask' }>['ask'];
type EngineRow = Extract<UpstreamRow, { kind: 'engine' }>;

const OWNER_PREFIX = '/baobablink/owners/';
const OBSERVE_PAUSE_MS = 800;
const TICK_PAUSE_MS = 100;
const INSPECT_PAUSE_MS = 1000;
const ANNOUNCE_PAUSE_MS = 1000;
const ANNOUNCE_WHOLE_MS = 10_000;
const WITHDRAW_TIMEOUT_MS = 1000;
const LOADS_BLOCKED_AFTER_CLAIM_MS = 1000;
const ADOPTED_KEPT_MS = 1500;
const GRANT_UNREPORTED_MS = 4000;
const FAILURES_BEFORE_UNUSABLE = 2;
const IDLE_FORGET_PAUSE_MS = 60_000;

interface OwnersHost extends Time {
  keyValue: KeyValue;
  engines: Engines;
  send(to: string, message: Message): boolean;
  /** Delivers a message that this VM sends to itself. */
  deliver(message: Message): void;
  log: Log;
}

/** One pool for which this VM decides. */
interface Ownership {
  name: string;
  fence: number;
  revision: number;
  intents: OwnerRecord['intents'];
  pool: Pool;
  rows: Map<string, EngineRow>;
  /** Which VM asked, by request. */
  askers: Map<string, { from: string; release: () => void; at: number }>;
  boots: Map<string, string>;
  failures: Map<string, number>;
  /** Adapters that an engine holds beside the pool's own of the same model, to be unloaded. */
  surplus: Map<string, Set<string>>;
  sequence: number;
  wholeAnnouncedAt: number;
  /** What was last announced of each engine. */
  announced: Map<string, string>;
  isAnnouncing: boolean;
  isEnded: boolean;
  recordWrites: Promise<unknown>;
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
  const records = new Map<string, { record: OwnerRecord; revision: number }>();
  const withdrawals = new Map<string, { awaited: Set<string>; end: (isFree: boolean) => void }>();
  const limiter = createLimiter();
  const claiming = new Set<string>();
  let stops: (() => void)[] = [];

  function start(): void {
    stops = [
      createRepeater(host, OBSERVE_PAUSE_MS, observe),
      createRepeater(host, TICK_PAUSE_MS, tick),
      createRepeater(host, INSPECT_PAUSE_MS, inspect),
      createRepeater(host, IDLE_FORGET_PAUSE_MS, () =>
        owned.forEach(({ pool }) => pool.forgetIdle(host.now())),
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

  async function observe(): Promise<void> {
    const answer = await host.keyValue.range({
      key: OWNER_PREFIX,
      rangeEnd: getPrefixEnd(OWNER_PREFIX),
    });
    if (!answer.ok) {
      return;
    }
    answer.value.entries.forEach((entry) => {
      const name = entry.key.slice(OWNER_PREFIX.length);
      // An answer can be older than what this VM has written or read since.
      if (entry.modRevision >= (records.get(name)?.revision ?? 0)) {
        const record = OwnerRecord.parse(JSON.parse(entry.value));
        records.set(name, { record, revision: entry.modRevision });
      }
    });
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
    const known = records.get(name);
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
    if (record && members.isAlive(now, record.owner)) {
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
    const revision = await tryWriteRecord(name, record, known?.revision ?? 0);
    if (revision !== undefined) {
      await takeOver(name, rows, record, revision);
    }
  }

  async function tryWriteRecord(
    name: string,
    record: OwnerRecord,
    ifRevision: number,
  ): Promise<number | undefined> {
    const key = `${OWNER_PREFIX}${name}`;
    const value = JSON.stringify(record);
    const answer = await host.keyValue.transact({
      compare: [{ key, modRevision: ifRevision }],
      writes: [{ kind: 'put', key, value }],
      otherwiseRead: [key],
    });
    if (answer.ok && answer.value.succeeded) {
      records.set(name, { record, revision: answer.value.revision });
      return answer.value.revision;
    }
    return undefined;
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
      askers: new Map(),
      boots: new Map(),
      failures: new Map(),
      surplus: new Map(),
      sequence: 0,
      wholeAnnouncedAt: -Infinity,
      announced: new Map(),
      isAnnouncing: false,
      isEnded: false,
      recordWrites: Promise.resolve(),
    };
    await Promise.all([...rows].map(([id, row]) => adoptEngine(ownership, id, row)));
    if (ownership.isEnded) {
      return;
    }
    owned.set(name, ownership);
    host.log('ownershipTaken', { pool: name, fence });
    announce(ownership);
  }

  /** Takes an engine in with what it says that it holds. */
  async function adoptEngine(ownership: Ownership, id: string, row: EngineRow): Promise<void> {
    ownership.rows.set(id, row);
    ownership.pool.setEngine({ ...getEngineLimits(ownership, id, row), usable: false });
    const report = await host.engines.getReport(row.address);
    if (report.ok) {
      ownership.boots.set(id, report.value.boot);
      await rereadEngine(ownership, id);
    }
  }

  /** Slots are out of use while they hold a surplus, or what a former owner may still unload. */
  function getEngineLimits(ownership: Ownership, id: string, row: EngineRow) {
    const doubtful = ownership.intents.filter(
      (intent) => intent.engine === id && isDoubtful(ownership, id, intent.name),
    ).length;
    const { batchSize, dataCentre } = row;
    const surplus = ownership.surplus.get(id)?.size ?? 0;
    return { id, slots: Math.max(0, row.slots - doubtful - surplus), batchSize, dataCentre };
  }

  function isDoubtful(ownership: Ownership, engine: string, name: string): boolean {
    return (
      parseEngineName(name).fence < ownership.fence &&
      ownership.intents.some((intent) => intent.engine === engine && intent.name === name)
    );
  }

  async function rereadEngine(ownership: Ownership, id: string): Promise<void> {
    const row = ownership.rows.get(id)!;
    if (row.checksFencing && !(await tryRaiseFence(ownership, row.address))) {
      return;
    }
    const names = await host.engines.getNames(row.address);
    if (!names.ok || ownership.isEnded) {
      return;
    }
    const now = host.now();
    ownership.intents = ownership.intents.filter(
      ({ engine, name }) => engine !== id || names.value.includes(name),
    );
    names.value
      .filter((name) => isDoubtful(ownership, id, name))
      .forEach((name) => unloadDoubtful(ownership, id, name));
    const certain = names.value.filter((name) => !isDoubtful(ownership, id, name));
    const surplus = getSurplus(ownership, id, certain);
    ownership.surplus.set(id, new Set(surplus));
    surplus.forEach((name) => evict(ownership, id, name));
    const adopted = certain
      .filter((name) => !surplus.includes(name))
      .map((name) => ({
        name,
        model: parseEngineName(name).model,
        pinnedUntil: now + ADOPTED_KEPT_MS,
      }));
    ownership.pool.setEngine({
      ...getEngineLimits(ownership, id, row),
      usable: !isLeaving(row.address),
    });
    execute(ownership, ownership.pool.resetEngine(now, id, adopted));
    ownership.failures.delete(id);
  }

  /**
   * Shows the engine this owner's fencing number by an order without effect. Only after it can no
   * order of a former owner take effect, and what the engine says that it holds is certain.
   */
  async function tryRaiseFence(ownership: Ownership, address: string): Promise<boolean> {
    const { fence } = ownership;
    const answer = await host.engines.unload(address, { name: `nothing#${fence}`, fence });
    if (!answer.ok && answer.error.kind === 'stale') {
      endOwnership(ownership);
    }
    return answer.ok || answer.error.kind === 'missing';
  }

  /** A load that a former owner had ordered can end after this one has loaded the same model. */
  function getSurplus(ownership: Ownership, id: string, names: string[]): string[] {
    const kept = new Map<string, string>();
    const { resident } = ownership.pool.view.engines.get(id)!;
    [...names]
      .sort((left, right) => parseEngineName(right).fence - parseEngineName(left).fence)
      .forEach((name) => {
        const { model } = parseEngineName(name);
        const known = resident.get(model)?.name;
        if (known === name || !kept.has(model)) {
          kept.set(model, known !== undefined && names.includes(known) ? known : name);
        }
      });
    return names.filter((name) => kept.get(parseEngineName(name).model) !== name);
  }

  async function unloadDoubtful(ownership: Ownership, engine: string, name: string): Promise<void> {
    if (await withdrawEverywhere(ownership, engine, name)) {
      const { address } = ownership.rows.get(engine)!;
      await host.engines.unload(address, { name, fence: ownership.fence });
    }
  }

  function isLeaving(address: string): boolean {
    return members.getUpstreamStates().get(address) === 'leaving';
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
      return [...rows].map(([id, row]) => inspectEngine(ownership, id, row));
    });
    await Promise.all(checks);
    owned.forEach(releaseVanished);
  }

  async function inspectEngine(ownership: Ownership, id: string, row: EngineRow): Promise<void> {
    if (!ownership.rows.has(id)) {
      await adoptEngine(ownership, id, row);
      return;
    }
    ownership.rows.set(id, row);
    const report = await host.engines.getReport(row.address);
    if (ownership.isEnded) {
      return;
    }
    if (!report.ok) {
      const failures = (ownership.failures.get(id) ?? 0) + 1;
      ownership.failures.set(id, failures);
      if (failures >= FAILURES_BEFORE_UNUSABLE) {
        ownership.pool.setEngine({ ...getEngineLimits(ownership, id, row), usable: false });
      }
      return;
    }
    const isUsable = !report.value.leaving && !isLeaving(row.address);
    const hasFailed = ownership.failures.has(id);
    if (ownership.boots.get(id) !== report.value.boot || hasFailed) {
      host.log('engineReset', { engine: id });
      ownership.boots.set(id, report.value.boot);
      await rereadEngine(ownership, id);
    }
    ownership.pool.setEngine({ ...getEngineLimits(ownership, id, row), usable: isUsable });
  }

  /** Releases the grants of VMs that are gone, once the engine runs nothing of them. */
  async function releaseVanished(ownership: Ownership): Promise<void> {
    const now = host.now();
    const vanished = [...ownership.askers].filter(
      ([, { from }]) => from !== options.address && members.isGone(now, from),
    );
    await Promise.all(
      vanished.map(async ([id]) => {
        const grant = ownership.pool.tryGetGrant(id);
        const row = grant && ownership.rows.get(grant.engine);
        const report = row && (await host.engines.getReport(row.address));
        if (grant && !(report?.ok && (report.value.running[grant.name] ?? 0) === 0)) {
          return;
        }
        host.log('pinsReleased', { request: id, pool: ownership.name });
        finish(ownership.name, id);
      }),
    );
  }

  function tick(): void {
    const now = host.now();
    owned.forEach((ownership) => {
      execute(ownership, ownership.pool.tick(now));
      metrics.pins.set({ pool: ownership.name }, ownership.pool.getGrantCount());
      metrics.queue.set({ pool: ownership.name }, ownership.pool.getWaitingCount());
      metrics.loadsInFlight.set({ pool: ownership.name }, ownership.pool.getLoadsInFlight());
      if (now - ownership.wholeAnnouncedAt >= ANNOUNCE_WHOLE_MS) {
        announce(ownership);
      }
    });
  }

  /** Takes a request for a place from an entry VM, this one included. */
  function receiveAsk(from: string, poolName: string, ask: Ask): void {
    const now = host.now();
    const ownership = owned.get(poolName);
    if (!ownership || members.isLeaving()) {
      reply(from, { kind: 'refused', id: ask.id, reason: 'notOwner', retryAfterMs: 0 });
      return;
    }
    if (ownership.askers.has(ask.id)) {
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
    ownership.askers.set(ask.id, { from, release: verdict.release, at: now });
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
    ownership.askers.get(id)?.release();
    ownership.askers.delete(id);
    execute(ownership, ownership.pool.cancel(host.now(), id));
  }

  /** Drops grants that their holder does not list: the word of their end was lost. */
  function receiveHolding(from: string, poolName: string, ids: string[]): void {
    const ownership = owned.get(poolName);
    const held = new Set(ids);
    const now = host.now();
    ownership?.askers.forEach((asker, id) => {
      if (asker.from === from && !held.has(id) && now - asker.at > GRANT_UNREPORTED_MS) {
        finish(poolName, id);
      }
    });
  }

  function execute(ownership: Ownership, actions: PoolAction[]): void {
    actions.forEach((action) =>
      match(action)
        .with({ kind: 'grant' }, ({ ask, engine, name }) => {
          const { fence, name: pool } = ownership;
          const used = ownership.pool.view.engines.get(engine)!;
          metrics.batchFill.observe(used.running / used.batchSize);
          const to = ownership.askers.get(ask.id)?.from ?? options.address;
          ownership.askers.get(ask.id)!.at = host.now();
          reply(to, { kind: 'granted', id: ask.id, pool, fence, engine, name });
        })
        .with({ kind: 'refuse' }, ({ ask, reason, retryAfterMs }) => {
          const asker = ownership.askers.get(ask.id);
          asker?.release();
          ownership.askers.delete(ask.id);
          const to = asker?.from ?? options.address;
          reply(to, { kind: 'refused', id: ask.id, reason, retryAfterMs });
        })
        .with({ kind: 'load' }, ({ engine, name, model }) => {
          load(ownership, engine, name, model);
        })
        .with({ kind: 'evict' }, ({ engine, name }) => {
          evict(ownership, engine, name);
        })
        .exhaustive(),
    );
    if (actions.some(({ kind }) => kind === 'load' || kind === 'evict')) {
      announceSoon(ownership);
    }
  }

  async function load(
    ownership: Ownership,
    engine: string,
    name: string,
    model: string,
  ): Promise<void> {
    const { address } = ownership.rows.get(engine)!;
    const startedAt = host.now();
    const answer = await host.engines.load(address, { name, model, fence: ownership.fence });
    const outcome = answer.ok ? 'done' : answer.error.kind;
    metrics.loads.inc({ outcome });
    const fields = { engine, adapter: name, durationMs: host.now() - startedAt, outcome };
    host.log(answer.ok ? 'loadDone' : 'loadFailed', fields);
    if (ownership.isEnded) {
      return;
    }
    execute(ownership, ownership.pool.loaded(host.now(), engine, name, answer.ok));
    announceSoon(ownership);
    if (!answer.ok) {
      await handleOrderError(ownership, engine, answer.error.kind);
    }
  }

  async function handleOrderError(
    ownership: Ownership,
    engine: string,
    kind: string,
  ): Promise<void> {
    if (kind === 'stale') {
      endOwnership(ownership);
      return;
    }
    await rereadEngine(ownership, engine);
  }

  async function evict(ownership: Ownership, engine: string, name: string): Promise<void> {
    const isOrdered = await tryEvict(ownership, engine, name);
    metrics.evictions.inc({ outcome: isOrdered ? 'done' : 'refused' });
    host.log(isOrdered ? 'evictionDone' : 'evictionRefused', { engine, adapter: name });
    if (ownership.isEnded) {
      return;
    }
    if (isOrdered && ownership.surplus.get(engine)?.delete(name)) {
      const row = ownership.rows.get(engine)!;
      ownership.pool.setEngine({
        ...getEngineLimits(ownership, engine, row),
        usable: !isLeaving(row.address),
      });
    }
    execute(ownership, ownership.pool.evicted(host.now(), engine, name, isOrdered));
    announceSoon(ownership);
  }

  async function tryEvict(ownership: Ownership, engine: string, name: string): Promise<boolean> {
    const row = ownership.rows.get(engine);
    if (!row || ownership.isEnded) {
      return false;
    }
    if (!(await withdrawEverywhere(ownership, engine, name))) {
      return false;
    }
    if (!row.checksFencing && !(await tryRecordIntent(ownership, engine, name))) {
      return false;
    }
    if (ownership.isEnded) {
      return false;
    }
    const { fence } = ownership;
    const answer = await host.engines.unload(row.address, { name, fence });
    if (answer.ok || answer.error.kind === 'missing') {
      ownership.intents = ownership.intents.filter(
        (intent) => intent.engine !== engine || intent.name !== name,
      );
      return true;
    }
    await handleOrderError(ownership, engine, answer.error.kind);
    return false;
  }

  /** Writes down which name is about to be unloaded; fails when the record is another's. */
  function tryRecordIntent(ownership: Ownership, engine: string, name: string): Promise<boolean> {
    const write = async () => {
      if (ownership.isEnded) {
        return false;
      }
      const intents = [...ownership.intents, { engine, name }];
      const { fence } = ownership;
      const record = { owner: options.address, fence, intents };
      const revision = await tryWriteRecord(ownership.name, record, ownership.revision);
      if (revision === undefined) {
        await rereadRecord(ownership);
        return false;
      }
      ownership.revision = revision;
      ownership.intents = intents;
      return true;
    };
    const result = ownership.recordWrites.then(write);
    ownership.recordWrites = result;
    return result;
  }

  async function rereadRecord(ownership: Ownership): Promise<void> {
    const key = `${OWNER_PREFIX}${ownership.name}`;
    const answer = await host.keyValue.range({ key });
    const entry = answer.ok ? answer.value.entries[0] : undefined;
    if (!entry) {
      return;
    }
    const record = OwnerRecord.parse(JSON.parse(entry.value));
    records.set(ownership.name, { record, revision: entry.modRevision });
    if (record.owner !== options.address || record.fence !== ownership.fence) {
      endOwnership(ownership);
      return;
    }
    // Our own write took effect although its answer was lost.
    ownership.revision = entry.modRevision;
    ownership.intents = record.intents;
  }

  /** Asks every VM that may hold the adapter to start nothing more on it. */
  async function withdrawEverywhere(
    ownership: Ownership,
    engine: string,
    name: string,
  ): Promise<boolean> {
    const { name: pool, fence } = ownership;
    ownership.sequence += 1;
    const message: Extract<Message, { kind: 'withdraw' }> = {
      kind: 'withdraw',
      pool,
      fence,
      sequence: ownership.sequence,
      engine,
      name,
    };
    if (residency.withdraw(options.address, message)) {
      return false;
    }
    const others = members.getPossibleHolders(host.now());
    if (others.length === 0) {
      return true;
    }
    const key = `${pool} ${engine} ${name}`;
    return new Promise<boolean>((resolve) => {
      const cancelTimer = host.setTimer(WITHDRAW_TIMEOUT_MS, () => {
        withdrawals.get(key)?.end(false);
      });
      const end = (isFree: boolean) => {
        cancelTimer();
        withdrawals.delete(key);
        resolve(isFree);
      };
      withdrawals.set(key, { awaited: new Set(others), end });
      if (!others.every((other) => host.send(other, message))) {
        end(false);
      }
    });
  }

  function receiveWithdrawn(from: string, message: Extract<Message, { kind: 'withdrawn' }>): void {
    const withdrawal = withdrawals.get(`${message.pool} ${message.engine} ${message.name}`);
    if (!withdrawal?.awaited.delete(from)) {
      return;
    }
    if (message.busy) {
      withdrawal.end(false);
    } else if (withdrawal.awaited.size === 0) {
      withdrawal.end(true);
    }
  }

  /** Learns from an entry VM that an engine did not hold an adapter that it was granted. */
  async function receiveMissing(poolName: string, engine: string, name: string): Promise<void> {
    const ownership = owned.get(poolName);
    if (ownership?.rows.has(engine)) {
      execute(ownership, ownership.pool.drop(host.now(), engine, name));
      await rereadEngine(ownership, engine);
    }
  }

  function announceSoon(ownership: Ownership): void {
    if (!ownership.isAnnouncing) {
      ownership.isAnnouncing = true;
      host.setTimer(ANNOUNCE_PAUSE_MS, () => announce(ownership));
    }
  }

  function announce(ownership: Ownership): void {
    ownership.isAnnouncing = false;
    if (ownership.isEnded) {
      return;
    }
    const now = host.now();
    const isWhole = now - ownership.wholeAnnouncedAt >= ANNOUNCE_WHOLE_MS;
    ownership.wholeAnnouncedAt = isWhole ? now : ownership.wholeAnnouncedAt;
    ownership.sequence += 1;
    const all = [...ownership.pool.view.engines.values()].map((engine) => {
      const names = [...engine.resident.values()]
        .filter((slot) => slot.state === 'resident' && engine.usable)
        .map((slot) => slot.name);
      metrics.residents.set({ engine: engine.id }, names.length);
      return { engine: engine.id, names, running: engine.running };
    });
    const engines = all.filter(
      ({ engine, names }) => isWhole || ownership.announced.get(engine) !== names.join(),
    );
    all.forEach(({ engine, names }) => ownership.announced.set(engine, names.join()));
    const message: Message = {
      kind: 'residency',
      pool: ownership.name,
      fence: ownership.fence,
      sequence: ownership.sequence,
      isWhole,
      engines,
    };
    residency.announce(options.address, message);
    members.getMembers().forEach(({ address }) => host.send(address, message));
  }

  /** Stops deciding for a pool; those that wait are sent to its new owner. */
  function endOwnership(ownership: Ownership): void {
    if (ownership.isEnded) {
      return;
    }
    ownership.isEnded = true;
    owned.delete(ownership.name);
    host.log('ownershipLost', { pool: ownership.name, fence: ownership.fence });
    ownership.askers.forEach(({ from, release }, id) => {
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
          ? await tryWriteRecord(ownership.name, record, ownership.revision)
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
    observe,
    receiveAsk,
    receiveHolding,
    receiveWithdrawn,
    receiveMissing,
    finish,
    handOver,
    /** Ends an ownership that a newer one, heard of from its owner, has replaced. */
    noticeFence: (pool: string, fence: number) => {
      const ownership = owned.get(pool);
      if (ownership && fence > ownership.fence) {
        endOwnership(ownership);
      }
    },
    isOwner: (pool: string) => owned.has(pool),
    getRecordedOwner: (pool: string) => records.get(pool)?.record.owner,
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
