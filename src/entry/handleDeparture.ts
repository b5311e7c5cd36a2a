import COPY_URGENCY from '../engines/COPY_URGENCY';
import type createOwnedEngines from '../engines/createOwnedEngines';
import type EngineStates from '../engines/EngineStates';
import type PendingLoads from '../engines/PendingLoads';
import type createPrefillClient from '../prefill/createPrefillClient';
import type Readiness from '../readiness/Readiness';
import type Upstreams from '../upstream/Upstreams';
import type Usage from '../usage/Usage';

interface Parts {
  prefillClient: Pick<ReturnType<typeof createPrefillClient>, 'refuseAll'>;
  pendingLoads: Pick<PendingLoads, 'leaveEngine' | 'request'>;
  engines: Pick<ReturnType<typeof createOwnedEngines>, 'tryGet'>;
  upstreams: Pick<Upstreams, 'getAll'>;
  readiness: Pick<Readiness, 'isOpen'>;
  usage: Pick<Usage, 'getBusyAdapters'>;
  engineStates: Pick<EngineStates, 'isResident'>;
  getVersion(key: string): number;
}

/** Time for which the load of an adapter in use may wait for an adapter slot elsewhere. */
const SLOT_WAIT_MS = 600;

/**
 * Places elsewhere what waits for an upstream that leaves. The owner of an engine also has the adapters
 * that only this engine holds, and that are in use, loaded on others.
 */
export default function handleDeparture(now: number, id: string, parts: Parts): void {
  parts.prefillClient.refuseAll(id);
  parts.pendingLoads.leaveEngine(id);
  const engine = parts.engines.tryGet(id);
  if (!engine) {
    return;
  }
  engine.refuseLoads();
  const others = parts.upstreams.getAll().filter((other) => parts.readiness.isOpen(now, other));
  const isHeldElsewhere = (key: string) =>
    others.some((other) => parts.engineStates.isResident(other.id, key, parts.getVersion(key)));
  parts.usage.getBusyAdapters(now, id).forEach(([key]) => {
    const [model, adapter] = key.split('/');
    if (adapter !== undefined && !isHeldElsewhere(key)) {
      const version = parts.getVersion(key);
      parts.pendingLoads.request(
        { model, adapter, key, version, urgency: COPY_URGENCY, slotWaitMs: SLOT_WAIT_MS },
        () => {},
      );
    }
  });
}
