import type Log from '../events/Log';
import type Metrics from '../metrics/Metrics';
import type PoolAction from '../pool/PoolAction';
import type EngineClient from '../upstream/EngineClient';
import type createAnnouncer from './createAnnouncer';
import type createOwnerRecords from './createOwnerRecords';
import type createWithdrawals from './createWithdrawals';
import type Ownership from './Ownership';

interface EngineCommandsHost {
  now(): number;
  engines: EngineClient;
  log: Log;
  execute(ownership: Ownership, actions: PoolAction[]): void;
  endOwnership(ownership: Ownership): void;
  rereadEngine(ownership: Ownership, engine: string): Promise<void>;
  updateLimits(ownership: Ownership, engine: string): void;
}

/**
 * Sends load and unload commands to engines. Before an unload, the adapter is withdrawn from use at
 * all VMs and, for an engine that does not check fencing numbers, an intent is recorded.
 */
export default function createEngineCommands(
  host: EngineCommandsHost,
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
    const response = await host.engines.load(address, { name, model, fence: ownership.fence });
    const outcome = response.ok ? 'done' : response.error.kind;
    metrics.loads.inc({ outcome });
    const fields = { engine, adapter: name, durationMs: host.now() - startedAt, outcome };
    host.log(response.ok ? 'loadDone' : 'loadFailed', fields);
    if (ownership.isEnded) {
      return;
    }
    host.execute(ownership, ownership.pool.completeLoad(host.now(), engine, name, response.ok));
    announcer.scheduleAnnouncement(ownership);
    if (!response.ok) {
      await handleCommandError(ownership, engine, response.error.kind);
    }
  }

  async function handleCommandError(
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
    const isEvicted = await tryEvict(ownership, engine, name);
    metrics.evictions.inc({ outcome: isEvicted ? 'done' : 'refused' });
    host.log(isEvicted ? 'evictionDone' : 'evictionRefused', { engine, adapter: name });
    if (ownership.isEnded) {
      return;
    }
    if (isEvicted && ownership.duplicateNames.get(engine)?.delete(name)) {
      host.updateLimits(ownership, engine);
    }
    host.execute(ownership, ownership.pool.completeEviction(host.now(), engine, name, isEvicted));
    announcer.scheduleAnnouncement(ownership);
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
    const response = await host.engines.unload(row.address, { name, fence });
    if (response.ok || response.error.kind === 'missing') {
      ownership.intents = ownership.intents.filter(
        (intent) => intent.engine !== engine || intent.name !== name,
      );
      return true;
    }
    await handleCommandError(ownership, engine, response.error.kind);
    return false;
  }

  /**
   * Adds the name about to be unloaded to the ownership record. Returns false if the write failed,
   * for example because the record belongs to another VM.
   */
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
    const stored = await records.tryRead(ownership.name);
    if (!stored) {
      return;
    }
    const { record, revision } = stored;
    if (record.owner !== options.address || record.fence !== ownership.fence) {
      host.endOwnership(ownership);
      return;
    }
    // An earlier write of this VM took effect although its response was lost.
    Object.assign(ownership, { revision, intents: record.intents });
  }

  return { load, evict };
}
