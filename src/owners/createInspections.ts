import type Log from '../events/Log';
import type Members from '../members/Members';
import type PoolAction from '../pool/PoolAction';
import type UpstreamRow from '../table/UpstreamRow';
import type EngineClient from '../upstream/EngineClient';
import type createWithdrawals from './createWithdrawals';
import type Ownership from './Ownership';
import parseEngineAdapterName from './parseEngineAdapterName';

type EngineRow = Extract<UpstreamRow, { kind: 'engine' }>;

const ADOPTED_PIN_MS = 1500;
const FAILURES_BEFORE_UNUSABLE = 2;

interface InspectionsHost {
  now(): number;
  engines: EngineClient;
  log: Log;
  execute(ownership: Ownership, actions: PoolAction[]): void;
  endOwnership(ownership: Ownership): void;
  evict(ownership: Ownership, engine: string, name: string): void;
  finish(pool: string, id: string): void;
}

/**
 * Tracks which adapters the engines of owned pools hold and whether the engines are usable, from
 * their own reports.
 */
export default function createInspections(
  host: InspectionsHost,
  parts: { members: Members; withdrawals: ReturnType<typeof createWithdrawals> },
  options: { address: string },
) {
  const { members, withdrawals } = parts;

  /** Adds an engine to a pool, with the adapters that the engine lists as loaded. */
  async function adoptEngine(ownership: Ownership, id: string, row: EngineRow): Promise<void> {
    ownership.rows.set(id, row);
    ownership.pool.setEngine({ ...getEngineLimits(ownership, id, row), usable: false });
    const report = await host.engines.getReport(row.address);
    if (report.ok) {
      ownership.bootIds.set(id, report.value.boot);
      await rereadEngine(ownership, id);
    }
  }

  /**
   * Returns the limits of an engine. Slots that hold a duplicate adapter, or one that a former
   * owner may still unload, are not counted.
   */
  function getEngineLimits(ownership: Ownership, id: string, row: EngineRow) {
    const pendingEvictionCount = ownership.intents.filter(
      (intent) => intent.engine === id && hasPendingEviction(ownership, id, intent.name),
    ).length;
    const { batchSize, dataCentre } = row;
    const duplicateCount = ownership.duplicateNames.get(id)?.size ?? 0;
    return {
      id,
      slots: Math.max(0, row.slots - pendingEvictionCount - duplicateCount),
      batchSize,
      dataCentre,
    };
  }

  /**
   * Returns whether an eviction intent is recorded for an adapter that a former owner loaded. A
   * delayed unload command for it may still take effect.
   */
  function hasPendingEviction(ownership: Ownership, engine: string, name: string): boolean {
    return (
      parseEngineAdapterName(name).fence < ownership.fence &&
      ownership.intents.some((intent) => intent.engine === engine && intent.name === name)
    );
  }

  async function rereadEngine(ownership: Ownership, id: string): Promise<void> {
    const row = ownership.rows.get(id)!;
    if (row.checksFencing && !(await tryRaiseFence(ownership, row.address))) {
      return;
    }
    const names = await host.engines.getAdapterNames(row.address);
    if (!names.ok || ownership.isEnded) {
      return;
    }
    const now = host.now();
    ownership.intents = ownership.intents.filter(
      ({ engine, name }) => engine !== id || names.value.includes(name),
    );
    names.value
      .filter((name) => hasPendingEviction(ownership, id, name))
      .forEach((name) => completePendingEviction(ownership, id, name));
    const stableNames = names.value.filter((name) => !hasPendingEviction(ownership, id, name));
    const duplicates = getDuplicateNames(ownership, id, stableNames);
    ownership.duplicateNames.set(id, new Set(duplicates));
    duplicates.forEach((name) => host.evict(ownership, id, name));
    const adopted = stableNames
      .filter((name) => !duplicates.includes(name))
      .map((name) => ({
        name,
        model: parseEngineAdapterName(name).model,
        pinnedUntil: now + ADOPTED_PIN_MS,
      }));
    ownership.pool.setEngine({
      ...getEngineLimits(ownership, id, row),
      usable: !isLeaving(row.address),
    });
    host.execute(ownership, ownership.pool.resetEngine(now, id, adopted));
    ownership.failedReports.delete(id);
  }

  /**
   * Sends an engine this owner's fencing number with a command that unloads a name which does not
   * exist. Only after that are commands of former owners rejected, so that none of them can change
   * the list of adapters that is read next. Returns whether the engine accepted the number.
   */
  async function tryRaiseFence(ownership: Ownership, address: string): Promise<boolean> {
    const { fence } = ownership;
    const response = await host.engines.unload(address, { name: `nothing#${fence}`, fence });
    if (!response.ok && response.error.kind === 'stale') {
      host.endOwnership(ownership);
    }
    return response.ok || response.error.kind === 'missing';
  }

  /**
   * Returns the names of duplicate adapters, all but one of each model. A duplicate arises when a
   * load that a former owner requested ends after this owner has loaded the same model.
   */
  function getDuplicateNames(ownership: Ownership, id: string, names: string[]): string[] {
    const kept = new Map<string, string>();
    const { resident } = ownership.pool.view.engines.get(id)!;
    [...names]
      .sort(
        (left, right) => parseEngineAdapterName(right).fence - parseEngineAdapterName(left).fence,
      )
      .forEach((name) => {
        const { model } = parseEngineAdapterName(name);
        const known = resident.get(model)?.name;
        if (known === name || !kept.has(model)) {
          kept.set(model, known !== undefined && names.includes(known) ? known : name);
        }
      });
    return names.filter((name) => kept.get(parseEngineAdapterName(name).model) !== name);
  }

  /** Unloads an adapter for which an eviction intent is recorded, if no VM uses it any more. */
  async function completePendingEviction(
    ownership: Ownership,
    engine: string,
    name: string,
  ): Promise<void> {
    if (await withdrawals.withdrawEverywhere(ownership, engine, name)) {
      const { address } = ownership.rows.get(engine)!;
      await host.engines.unload(address, { name, fence: ownership.fence });
    }
  }

  function isLeaving(address: string): boolean {
    return members.getUpstreamStates().get(address) === 'leaving';
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
      const failureCount = (ownership.failedReports.get(id) ?? 0) + 1;
      ownership.failedReports.set(id, failureCount);
      if (failureCount >= FAILURES_BEFORE_UNUSABLE) {
        ownership.pool.setEngine({ ...getEngineLimits(ownership, id, row), usable: false });
      }
      return;
    }
    const isUsable = !report.value.leaving && !isLeaving(row.address);
    const hasFailed = ownership.failedReports.has(id);
    if (ownership.bootIds.get(id) !== report.value.boot || hasFailed) {
      host.log('engineReset', { engine: id });
      ownership.bootIds.set(id, report.value.boot);
      await rereadEngine(ownership, id);
    }
    ownership.pool.setEngine({ ...getEngineLimits(ownership, id, row), usable: isUsable });
  }

  /** Releases the grants of VMs that are gone, once the engine runs no request on the adapter. */
  async function releaseOrphanedGrants(ownership: Ownership): Promise<void> {
    const now = host.now();
    const orphaned = [...ownership.requesters].filter(
      ([, { from }]) => from !== options.address && members.isGone(now, from),
    );
    await Promise.all(
      orphaned.map(async ([id]) => {
        const grant = ownership.pool.tryGetGrant(id);
        const row = grant && ownership.rows.get(grant.engine);
        const report = row && (await host.engines.getReport(row.address));
        if (grant && !(report?.ok && (report.value.running[grant.name] ?? 0) === 0)) {
          return;
        }
        host.log('pinsReleased', { request: id, pool: ownership.name });
        host.finish(ownership.name, id);
      }),
    );
  }

  /** Updates an engine's limits after a slot that was not counted has become free. */
  function updateLimits(ownership: Ownership, id: string): void {
    const row = ownership.rows.get(id)!;
    const usable = !isLeaving(row.address);
    ownership.pool.setEngine({ ...getEngineLimits(ownership, id, row), usable });
  }

  return { adoptEngine, inspectEngine, rereadEngine, releaseOrphanedGrants, updateLimits };
}
