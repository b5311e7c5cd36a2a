import type Log from '../events/Log';
import type Metrics from '../metrics/Metrics';
import type PoolAction from '../pool/PoolAction';
import type EngineClient from '../upstream/EngineClient';
import type createAnnouncer from './createAnnouncer';
import type createOwnerRecords from './createOwnerRecords';
import type createWithdrawals from './createWithdrawals';
import type Ownership from './Ownership';

interface OrdersHost {
  now(): number;
  engines: EngineClient;
  log: Log;
  execute(ownership: Ownership, actions: PoolAction[]): void;
  endOwnership(ownership: Ownership): void;
  rereadEngine(ownership: Ownership, engine: string): Promise<void>;
  updateLimits(ownership: Ownership, engine: string): void;
}

/** Orders loads and evictions. An eviction is withdrawn, written down, and only then ordered. */
export default function createOrders(
  host: OrdersHost,
  parts: {
    records: ReturnType<typeof createOwnerRecords>;
    withdrawals: ReturnType<typeof createWithdrawals>;
    announcer: ReturnType<typeof createAnnouncer>;
    metrics: Metrics;
  },
  options: { address: string },
) {
  const { records, withdrawals, announcer, metrics } = parts;

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
    host.execute(ownership, ownership.pool.completeLoad(host.now(), engine, name, answer.ok));
    announcer.announceSoon(ownership);
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
      host.endOwnership(ownership);
      return;
    }
    await host.rereadEngine(ownership, engine);
  }

  async function evict(ownership: Ownership, engine: string, name: string): Promise<void> {
    const isOrdered = await tryEvict(ownership, engine, name);
    metrics.evictions.inc({ outcome: isOrdered ? 'done' : 'refused' });
    host.log(isOrdered ? 'evictionDone' : 'evictionRefused', { engine, adapter: name });
    if (ownership.isEnded) {
      return;
    }
    if (isOrdered && ownership.surplus.get(engine)?.delete(name)) {
      host.updateLimits(ownership, engine);
    }
    host.execute(ownership, ownership.pool.completeEviction(host.now(), engine, name, isOrdered));
    announcer.announceSoon(ownership);
  }

  async function tryEvict(ownership: Ownership, engine: string, name: string): Promise<boolean> {
    const row = ownership.rows.get(engine);
    if (!row || ownership.isEnded) {
      return false;
    }
    if (!(await withdrawals.withdrawEverywhere(ownership, engine, name))) {
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
      const revision = await records.tryWrite(ownership.name, record, ownership.revision);
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
    const known = await records.tryRead(ownership.name);
    if (!known) {
      return;
    }
    const { record, revision } = known;
    if (record.owner !== options.address || record.fence !== ownership.fence) {
      host.endOwnership(ownership);
      return;
    }
    // Our own write took effect although its answer was lost.
    Object.assign(ownership, { revision, intents: record.intents });
  }

  return { load, evict };
}
