import type EngineStates from '../engines/EngineStates';
import getAdapterKey from '../engines/getAdapterKey';
import type LoadTarget from '../engines/LoadTarget';
import isCopyWanted from '../engines/isCopyWanted';
import type PendingLoads from '../engines/PendingLoads';
import getRetryAfterMs from '../gateway/getRetryAfterMs';
import type ActiveRequest from '../gateway/ActiveRequest';
import type Placement from '../gateway/Placement';
import type Refusal from '../gateway/Refusal';
import type Manifest from '../manifest/Manifest';
import type Result from '../shared/Result';
import type Clock from '../shared/Clock';
import type Candidate from '../upstream/Candidate';
import chooseUpstream from '../upstream/chooseUpstream';
import type Upstream from '../upstream/Upstream';
import type UpstreamHealth from '../upstream/UpstreamHealth';
import type Upstreams from '../upstream/Upstreams';
import type Usage from '../usage/Usage';

/** Beyond its slots an engine queues; a queue of this share is served within its objective. */
const MAX_ENGINE_FILL = 1.1;
/** Copies that this VM asks for, at most one in this time. */
const COPY_PAUSE_MS = 200;
/** Copies are loaded after what requests wait for. */
const COPY_URGENCY = 5;

interface PlacementHost extends Clock {
  getManifest(): Manifest | undefined;
  getVersion(key: string): number;
  /** Time that the prompts which wait at an engine take to be read. */
  getBacklogMs(engine: string): number;
  random(): number;
}

/** Finds the upstream for a request, and has its adapter loaded where it lies nowhere. */
export default function createPlacement(
  host: PlacementHost,
  parts: {
    upstreams: Upstreams;
    usage: Usage;
    health: UpstreamHealth;
    views: EngineStates;
    getPendingLoads(): PendingLoads;
  },
  options: { dataCentre: string },
) {
  const { upstreams, usage, health, views } = parts;
  let copiedAt = -Infinity;

  async function place(
    job: ActiveRequest,
    avoid: ReadonlySet<string>,
    isAtOnce: boolean,
  ): Promise<Result<Placement, Refusal>> {
    const { model, adapter } = job.callerRequest;
    const isEngine = host.getManifest()?.services.get(job.service)?.engine !== undefined;
    if (!isEngine || model === undefined) {
      return placeAnywhere(job, avoid);
    }
    const key = getAdapterKey(model, adapter);
    if (isAtOnce) {
      return placeWhereResident(job, key, avoid, views.isUnreachable) ?? refuse(job, 'busy');
    }
    let isLoaded = true;
    while (isLoaded) {
      const placed = placeWhereResident(job, key, avoid, views.isUnreachable);
      if (placed) {
        return placed;
      }
      isLoaded = adapter !== undefined && (await waitForLoad(job, { model, adapter, key }));
      if (job.isCallerGone) {
        return refuse(job, 'noAdapter');
      }
    }
    // The owner alone may be cut off from an engine with which this VM had no trouble.
    const isLost = (id: string) => views.isUnreachable(id) && health.isSuspended(host.now(), id);
    const last = placeWhereResident(job, key, avoid, isLost);
    return last ?? refuse(job, adapter === undefined ? 'noUpstream' : 'noAdapter');
  }

  function placeAnywhere(
    job: ActiveRequest,
    avoid: ReadonlySet<string>,
  ): Result<Placement, Refusal> {
    const now = host.now();
    const candidates = getCandidates(now, upstreams.getReady(job.service), avoid);
    const chosen = chooseUpstream(candidates, options.dataCentre);
    const upstream = chosen && upstreams.tryGet(chosen.id);
    return upstream
      ? { ok: true, value: { upstream, version: undefined, inFlight: chosen.inFlight } }
      : refuse(job, 'noUpstream');
  }

  function placeWhereResident(
    job: ActiveRequest,
    key: string,
    avoid: ReadonlySet<string>,
    isLeftOut: (engine: string) => boolean,
  ): Result<Placement, Refusal> | undefined {
    const now = host.now();
    const version = host.getVersion(key);
    const ready = upstreams.getReady(job.service);
    const holders = ready.filter(({ id }) => views.isResident(id, key, version) && !isLeftOut(id));
    const chosen = chooseUpstream(getCandidates(now, holders, avoid), options.dataCentre);
    const upstream = chosen && upstreams.tryGet(chosen.id);
    if (!upstream) {
      return undefined;
    }
    const { model, adapter } = job.callerRequest;
    if (adapter !== undefined && holders.length < ready.length) {
      copyWhereLoaded(now, chosen, ready, { model: model!, adapter, key, version });
    }
    if (chosen.inFlight >= chosen.slots * MAX_ENGINE_FILL) {
      return refuse(job, 'busy', holders.length);
    }
    const stated = version > 0 ? version : undefined;
    return { ok: true, value: { upstream, version: stated, inFlight: chosen.inFlight } };
  }

  /** Has a much used adapter loaded on another engine where its own has too much to do. */
  function copyWhereLoaded(
    now: number,
    chosen: Candidate,
    ready: readonly Upstream[],
    ask: { model: string; adapter: string; key: string; version: number },
  ): void {
    const getMean = (get: (id: string) => number) =>
      ready.reduce((sum, { id }) => sum + get(id), 0) / ready.length;
    const mean = {
      inFlight: getMean((id) => usage.getInFlight(now, id)),
      waitMs: getMean(host.getBacklogMs),
    };
    const use = usage.getUse(now, chosen.id, ask.key).inFlight;
    if (now - copiedAt > COPY_PAUSE_MS && isCopyWanted(chosen, mean, use)) {
      copiedAt = now;
      parts.getPendingLoads().request({ ...ask, urgency: COPY_URGENCY }, () => {});
    }
  }

  function waitForLoad(
    job: ActiveRequest,
    ask: { model: string; adapter: string; key: string },
  ): Promise<boolean> {
    return new Promise((resolve) => {
      let isOver = false;
      const end = (isLoaded: boolean) => {
        if (!isOver) {
          isOver = true;
          cancelTimer();
          leaveLoad();
          Object.assign(job, { abort: () => {} });
          resolve(isLoaded);
        }
      };
      const leftMs = job.deadlineAt - host.now();
      const cancelTimer = host.setTimer(Math.max(0, leftMs), () => end(false));
      let leaveLoad = () => {};
      Object.assign(job, { abort: () => end(false) });
      const leave = parts
        .getPendingLoads()
        .request({ ...ask, version: host.getVersion(ask.key), urgency: job.route.urgency }, end);
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
        waitMs: host.getBacklogMs(id),
        inFlight: usage.getInFlight(now, id),
        failureRate: health.getFailureRate(now, id),
        relativeLatency: health.getRelativeLatency(id, ids),
        isSuspended: health.isSuspended(now, id) || views.isUnreachable(id),
      }));
  }

  /** Engines that could load an adapter now. */
  function getLoadTargets(
    now: number,
    ask: { key: string; model: string; version: number },
  ): LoadTarget[] {
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
                waitMs: host.getBacklogMs(upstream.id),
                freeAdapterSlots: places - view.adapters.length,
                idleAdapterSlots: view.adapters.filter(
                  (adapter) =>
                    adapter.state === 'resident' &&
                    usage.getUse(now, upstream.id, adapter.key).inFlight === 0,
                ).length,
              },
            ];
      });
  }

  function refuse(
    job: ActiveRequest,
    kind: 'noUpstream' | 'busy' | 'noAdapter',
    holders = 0,
  ): Result<never, Refusal> {
    const now = host.now();
    const { model, adapter } = job.callerRequest;
    const ready = upstreams.getReady(job.service);
    const key = getAdapterKey(model ?? '', adapter);
    const homes =
      kind === 'noAdapter'
        ? getLoadTargets(now, { key, model: model ?? '', version: host.getVersion(key) })
        : [];
    const seen = {
      ready: ready.length,
      holders,
      homes: homes.length,
      pending: homes.reduce((sum, home) => sum + home.pending, 0),
      inFlight: ready.reduce((sum, { id }) => sum + usage.getInFlight(now, id), 0),
      slots: ready.reduce((sum, { slots }) => sum + slots, 0),
      waitMs: Math.min(...ready.map(({ id }) => host.getBacklogMs(id))),
    };
    return { ok: false, error: { kind, retryAfterMs: getRetryAfterMs(host.random()), seen } };
  }

  return { place, getLoadTargets };
}
