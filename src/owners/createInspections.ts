import type Log from '../events/Log';
import type Members from '../members/Members';
import type PoolAction from '../pool/PoolAction';
import type UpstreamRow from '../table/UpstreamRow';
import type EngineClient from '../upstream/EngineClient';
import type createWithdrawals from './createWithdrawals';
import type Ownership from './Ownership';
import parseEngineName from './parseEngineName';

type EngineRow = Extract<UpstreamRow, { kind: 'engine' }>;

const ADOPTED_KEPT_MS = 1500;
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

/** Knows what the engines of owned pools hold and how they are, by their own word. */
export default function createInspections(
  host: InspectionsHost,
  parts: { members: Members; withdrawals: ReturnType<typeof createWithdrawals> },
  options: { address: string },
) {
  const { members, withdrawals } = parts;

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
    const names = await host.engines.getAdapterNames(row.address);
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
    surplus.forEach((name) => host.evict(ownership, id, name));
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
    host.execute(ownership, ownership.pool.resetEngine(now, id, adopted));
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
      host.endOwnership(ownership);
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
    const vanished = [...ownership.requesters].filter(
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
        host.finish(ownership.name, id);
      }),
    );
  }

  /** Applies an engine's limits anew, after a slot that was out of use has become free. */
  function updateLimits(ownership: Ownership, id: string): void {
    const row = ownership.rows.get(id)!;
    const usable = !isLeaving(row.address);
    ownership.pool.setEngine({ ...getEngineLimits(ownership, id, row), usable });
  }

  return { adoptEngine, inspectEngine, rereadEngine, releaseVanished, updateLimits };
}
