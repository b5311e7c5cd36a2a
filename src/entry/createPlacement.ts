import type EngineViews from '../engines/EngineViews';
import getAdapterKey from '../engines/getAdapterKey';
import type Home from '../engines/Home';
import type Loads from '../engines/Loads';
import type Job from '../gateway/Job';
import type Place from '../gateway/Place';
import type Refusal from '../gateway/Refusal';
import type Manifest from '../manifest/Manifest';
import type Outcome from '../shared/Outcome';
import type Time from '../shared/Time';
import type Candidate from '../upstream/Candidate';
import chooseUpstream from '../upstream/chooseUpstream';
import type Upstream from '../upstream/Upstream';
import type UpstreamHealth from '../upstream/UpstreamHealth';
import type Upstreams from '../upstream/Upstreams';
import type Usage from '../usage/Usage';

/** Beyond its slots an engine queues; a queue of this share is served within its objective. */
const MAX_ENGINE_FILL = 1.1;
/** Above this share of its slots an engine's adapter earns a copy on another engine. */
const COPY_FILL = 0.7;
const REFUSED_RETRY_MS = 400;
/** Answers of refused requests are spread over this time. */
const RETRY_SPREAD_MS = 600;

interface PlacementHost extends Time {
  getManifest(): Manifest | undefined;
  getVersion(key: string): number;
  random(): number;
}

/** Finds the upstream for a request, and has its adapter loaded where it lies nowhere. */
export default function createPlacement(
  host: PlacementHost,
  parts: {
    upstreams: Upstreams;
    usage: Usage;
    health: UpstreamHealth;
    views: EngineViews;
    getLoads(): Loads;
  },
  options: { dataCentre: string },
) {
  const { upstreams, usage, health, views } = parts;

  async function place(job: Job, avoid: ReadonlySet<string>): Promise<Outcome<Place, Refusal>> {
    const { model, adapter } = job.call;
    const isEngine = host.getManifest()?.services.get(job.service)?.engine !== undefined;
    if (!isEngine || model === undefined) {
      return placeAnywhere(job, avoid);
    }
    const key = getAdapterKey(model, adapter);
    let isLoaded = true;
    while (isLoaded) {
      const placed = placeWhereResident(job, key, avoid);
      if (placed) {
        return placed;
      }
      if (adapter === undefined) {
        return refuse('noUpstream');
      }
       
      isLoaded = await waitForLoad(job, { model, adapter, key });
      if (job.isCallerGone) {
        break;
      }
    }
    return refuse('noAdapter');
  }

  function placeAnywhere(job: Job, avoid: ReadonlySet<string>): Outcome<Place, Refusal> {
    const now = host.now();
    const candidates = getCandidates(now, upstreams.getReady(job.service), avoid);
    const chosen = chooseUpstream(candidates, options.dataCentre);
    const upstream = chosen && upstreams.tryGet(chosen.id);
    return upstream
      ? { ok: true, value: { upstream, version: undefined, inFlight: chosen.inFlight } }
      : refuse('noUpstream');
  }

  function placeWhereResident(
    job: Job,
    key: string,
    avoid: ReadonlySet<string>,
  ): Outcome<Place, Refusal> | undefined {
    const now = host.now();
    const version = host.getVersion(key);
    const ready = upstreams.getReady(job.service);
    const holders = ready.filter((upstream) => views.isResident(upstream.id, key, version));
    const chosen = chooseUpstream(getCandidates(now, holders, avoid), options.dataCentre);
    const upstream = chosen && upstreams.tryGet(chosen.id);
    if (!upstream) {
      return undefined;
    }
    const { model, adapter } = job.call;
    const isCopyWorth =
      chosen.inFlight >= chosen.slots * COPY_FILL && holders.length < ready.length;
    if (isCopyWorth && adapter !== undefined) {
      parts.getLoads().want({ model: model!, adapter, key, version, urgency: 1 }, () => {});
    }
    if (chosen.inFlight >= chosen.slots * MAX_ENGINE_FILL) {
      return refuse('busy');
    }
    const stated = version > 0 ? version : undefined;
    return { ok: true, value: { upstream, version: stated, inFlight: chosen.inFlight } };
  }

  function waitForLoad(
    job: Job,
    ask: { model: string; adapter: string; key: string },
  ): Promise<boolean> {
    return new Promise((resolve) => {
      let isOver = false;
      const end = (isLoaded: boolean) => {
        if (!isOver) {
          isOver = true;
          cancelTimer();
          leaveLoad();
          Object.assign(job, { leave: () => {} });
          resolve(isLoaded);
        }
      };
      const leftMs = job.deadlineAt - host.now();
      const cancelTimer = host.setTimer(Math.max(0, leftMs), () => end(false));
      let leaveLoad = () => {};
      Object.assign(job, { leave: () => end(false) });
      const leave = parts
        .getLoads()
        .want({ ...ask, version: host.getVersion(ask.key), urgency: job.route.urgency }, end);
      leaveLoad = leave;
    });
  }

  function getCandidates(
    now: number,
    ready: readonly Upstream[],
    avoid: ReadonlySet<string>,
  ): Candidate[] {
    const ids = ready.map(({ id }) => id);
    return ready
      .filter(({ id }) => !avoid.has(id))
      .map(({ id, dataCentre, slots }) => ({
        id,
        dataCentre,
        slots,
        inFlight: usage.getInFlight(now, id),
        failureShare: health.getFailureShare(now, id),
        slowness: health.getSlowness(id, ids),
        isSuspended: health.isSuspended(now, id),
      }));
  }

  /** Engines that could load an adapter now. */
  function getHomes(now: number, ask: { key: string; model: string; version: number }): Home[] {
    return upstreams
      .getAll()
      .filter((upstream) => upstream.state === 'ready' && !health.isSuspended(now, upstream.id))
      .flatMap((upstream) => {
        const view = views.tryGet(upstream.id);
        const places = host.getManifest()?.services.get(upstream.service)?.engine?.adapterSlots;
        if (!view?.canLoad || places === undefined) {
          return [];
        }
        const held = view.adapters.find((adapter) => adapter.key === ask.key);
        const isOldInUse =
          held !== undefined &&
          held.version < ask.version &&
          usage.getUse(now, upstream.id, ask.key).inFlight > 0;
        const hasModel = view.models.some((model) => model.name === ask.model);
        if (!hasModel || isOldInUse || held?.state === 'leaving') {
          return [];
        }
        const isHeld = held?.state === 'resident' && held.version >= ask.version;
        const loading = view.adapters.filter((adapter) => adapter.state === 'loading').length;
        return isHeld
          ? []
          : [
              {
                id: upstream.id,
                pending: view.queued + loading,
                inFlight: usage.getInFlight(now, upstream.id),
                slots: upstream.slots,
                freePlaces: places - view.adapters.length,
                idlePlaces: view.adapters.filter(
                  (adapter) =>
                    adapter.state === 'resident' &&
                    usage.getUse(now, upstream.id, adapter.key).inFlight === 0,
                ).length,
              },
            ];
      });
  }

  function refuse(kind: 'noUpstream' | 'busy' | 'noAdapter'): Outcome<never, Refusal> {
    const retryAfterMs = Math.round(REFUSED_RETRY_MS + host.random() * RETRY_SPREAD_MS);
    return { ok: false, error: { kind, retryAfterMs } };
  }

  return { place, getHomes };
}
