import COPY_URGENCY from '../engines/COPY_URGENCY';
import type EngineStates from '../engines/EngineStates';
import getAdapterKey from '../engines/getAdapterKey';
import type LoadTarget from '../engines/LoadTarget';
import isCopyWanted from '../engines/isCopyWanted';
import type PendingLoads from '../engines/PendingLoads';
import getRetryAfterMs from '../gateway/getRetryAfterMs';
import getReturnMs from '../gateway/getReturnMs';
import type ActiveRequest from '../gateway/ActiveRequest';
import type Placement from '../gateway/Placement';
import type Refusal from '../gateway/Refusal';
import type UpstreamLoads from '../load/UpstreamLoads';
import type Manifest from '../manifest/Manifest';
import type Readiness from '../readiness/Readiness';
import type RateLimiting from '../rateLimits/RateLimiting';
import type Result from '../shared/Result';
import type Clock from '../shared/Clock';
import getSoftwareVersion from '../streams/getSoftwareVersion';
import getSlotWaitMs from '../engines/getSlotWaitMs';
import type Candidate from '../upstream/Candidate';
import chooseUpstream from '../upstream/chooseUpstream';
import createCandidates from '../upstream/createCandidates';
import type Upstream from '../upstream/Upstream';
import type UpstreamHealth from '../upstream/UpstreamHealth';
import type Upstreams from '../upstream/Upstreams';
import type Usage from '../usage/Usage';

/**
 * An engine queues the requests beyond its slots. A queue of a tenth of the slots is still served
 * within the latency objective.
 */
const MAX_IN_FLIGHT_PER_SLOT = 1.1;
/** An engine without a limit is preferred up to this part of its slots. */
const MAX_PREFERRED_FILL = 0.8;
/** Minimum time between two copies of adapters that this VM requests. */
const MIN_COPY_INTERVAL_MS = 200;

/** A copy that gets no adapter slot at once is not worth a wait. */
const COPY_SLOT_WAIT_MS = 100;

interface PlacementHost extends Clock {
  getManifest(): Manifest | undefined;
  /** Returns the version of an adapter or a model that is in force, or 0 if none was announced. */
  getVersion(key: string): number;
  /** Returns whether all VMs know the software version of an upstream. */
  isVersionKnownToAll(now: number, upstream: Upstream): boolean;
  /** Returns the prefill time of the prompts queued on an engine, in milliseconds. */
  getBacklogMs(engine: string): number;
  /** Returns the requests that all VMs together may have in flight at an upstream now. */
  getPace(now: number, upstream: Upstream): number;
  /** Returns a number from 0 to 1. */
  random(): number;
}

/**
 * Creates the functions that choose the upstream of a request. If no engine holds the request's
 * adapter, they request its load and wait for it.
 */
export default function createPlacement(
  host: PlacementHost,
  parts: {
    upstreams: Upstreams;
    usage: Usage;
    loads: Pick<UpstreamLoads, 'isStated' | 'getStated' | 'getDuration' | 'getUsualDuration'>;
    health: UpstreamHealth;
    readiness: Readiness;
    engineStates: EngineStates;
    rateLimiting: Pick<RateLimiting, 'isLimited' | 'getRetryAfterMs'>;
    getPendingLoads(): PendingLoads;
  },
  options: { dataCentre: string },
) {
  const { upstreams, usage, loads, readiness, engineStates, rateLimiting } = parts;
  const getCandidates = createCandidates(host, parts, options);
  let copyRequestedAt = -Infinity;

  /**
   * Chooses the upstream of a request. If no engine can serve it and its adapter can be loaded,
   * waits for the load, unless `isImmediate` is set.
   */
  async function place(
    request: ActiveRequest,
    excludedUpstreams: ReadonlySet<string>,
    isImmediate: boolean,
  ): Promise<Result<Placement, Refusal>> {
    const { model, adapter } = request.callerRequest;
    const isEngine = host.getManifest()?.services.get(request.service)?.engine !== undefined;
    if (!isEngine || model === undefined) {
      return placeAtAnyUpstream(request, excludedUpstreams);
    }
    const key = getAdapterKey(model, adapter);
    const isUnreachable = (upstream: Upstream) =>
      readiness.has(host.now(), upstream, 'unreachable');
    if (isImmediate) {
      return (
        tryPlaceAtHolder(request, key, excludedUpstreams, isUnreachable) ?? refuse(request, 'busy')
      );
    }
    let isLoaded = true;
    while (isLoaded) {
      const placement = tryPlaceAtHolder(request, key, excludedUpstreams, isUnreachable);
      if (placement) {
        return placement;
      }
      isLoaded = adapter !== undefined && (await waitForLoad(request, { model, adapter, key }));
      if (request.isCallerGone || request.isStopped) {
        return refuse(request, 'noAdapter');
      }
    }
    // An engine that only its owner can't reach may still serve: this VM's own requests to it have
    // not failed.
    const isUnusable = (upstream: Upstream) =>
      isUnreachable(upstream) && readiness.has(host.now(), upstream, 'suspended');
    const lastPlacement = tryPlaceAtHolder(request, key, excludedUpstreams, isUnusable);
    return lastPlacement ?? refuse(request, adapter === undefined ? 'noUpstream' : 'noAdapter');
  }

  /** Returns the upstreams that can serve a request: for a stream that has begun, those of its version. */
  function getUsable(request: ActiveRequest): Upstream[] {
    const now = host.now();
    const { service, softwareVersion } = request;
    return upstreams
      .getAll()
      .filter(
        (upstream) => upstream.service === service && !readiness.has(now, upstream, 'leaving'),
      )
      .filter(
        (upstream) =>
          softwareVersion === undefined || getSoftwareVersion(upstream) === softwareVersion,
      );
  }

  /**
   * Returns the upstreams at which a stream that may be resumed begins: those whose software version all
   * VMs know, if there are any.
   */
  function preferKnown(
    now: number,
    request: ActiveRequest,
    usable: Upstream[],
    excludedUpstreams: ReadonlySet<string>,
  ): Upstream[] {
    if (!request.route.isResumable || request.softwareVersion !== undefined) {
      return usable;
    }
    const known = usable.filter(
      (upstream) => !excludedUpstreams.has(upstream.id) && host.isVersionKnownToAll(now, upstream),
    );
    return known.length > 0 ? known : usable;
  }

  /** Returns the upstreams at which a request to a service without engines may be sent now. */
  function getPlainCandidates(
    now: number,
    request: ActiveRequest,
    excludedUpstreams: ReadonlySet<string>,
  ): Candidate[] {
    const usable = preferKnown(now, request, getUsable(request), excludedUpstreams);
    return getCandidates(now, usable, excludedUpstreams);
  }

  function placeAtAnyUpstream(
    request: ActiveRequest,
    excludedUpstreams: ReadonlySet<string>,
  ): Result<Placement, Refusal> {
    const now = host.now();
    const candidates = getPlainCandidates(now, request, excludedUpstreams);
    const chosen = chooseUpstream(candidates, options.dataCentre);
    const upstream = chosen && upstreams.tryGet(chosen.id);
    return upstream
      ? { ok: true, value: { upstream, version: undefined, inFlight: chosen.inFlight } }
      : refuse(request, 'noUpstream');
  }

  /**
   * Chooses an engine that holds the adapter, and refuses the request if even that engine is full.
   * Returns undefined if no engine can be chosen.
   */
  function tryPlaceAtHolder(
    request: ActiveRequest,
    key: string,
    excludedUpstreams: ReadonlySet<string>,
    isExcluded: (engine: Upstream) => boolean,
  ): Result<Placement, Refusal> | undefined {
    const now = host.now();
    const version = host.getVersion(key);
    const ready = getUsable(request);
    const holders = preferKnown(
      now,
      request,
      ready.filter(
        (upstream) => engineStates.isResident(upstream.id, key, version) && !isExcluded(upstream),
      ),
      excludedUpstreams,
    );
    const candidates = getCandidates(now, holders, excludedUpstreams);
    // The permits of limited engines are left to requests whose adapter no other engine holds.
    const unlimited = candidates.filter(({ id }) => !rateLimiting.isLimited(upstreams.tryGet(id)!));
    const chosenUnlimited = chooseUpstream(unlimited, options.dataCentre);
    const hasRoom =
      chosenUnlimited !== undefined &&
      !chosenUnlimited.isSuspended &&
      chosenUnlimited.inFlight < chosenUnlimited.slots * MAX_PREFERRED_FILL;
    const chosen = hasRoom ? chosenUnlimited : chooseUpstream(candidates, options.dataCentre);
    const upstream = chosen && upstreams.tryGet(chosen.id);
    if (!upstream) {
      return undefined;
    }
    const { model, adapter } = request.callerRequest;
    if (adapter !== undefined && holders.length < ready.length) {
      requestCopyIfOverloaded(now, chosen, ready, { model: model!, adapter, key, version });
    }
    if (chosen.inFlight >= chosen.slots * MAX_IN_FLIGHT_PER_SLOT) {
      return refuse(request, 'busy', holders.length);
    }
    const requiredVersion = version > 0 ? version : undefined;
    return { ok: true, value: { upstream, version: requiredVersion, inFlight: chosen.inFlight } };
  }

  /** Requests a copy of an adapter if it is in frequent use and its chosen engine is overloaded. */
  function requestCopyIfOverloaded(
    now: number,
    chosen: Candidate,
    ready: readonly Upstream[],
    wanted: { model: string; adapter: string; key: string; version: number },
  ): void {
    const getMean = (getValue: (id: string) => number) =>
      ready.reduce((sum, { id }) => sum + getValue(id), 0) / ready.length;
    // Computed from all engines, so only if it is needed.
    const mean = {
      get inFlight() {
        return getMean((id) => usage.getInFlight(now, id));
      },
      get waitMs() {
        return getMean(host.getBacklogMs);
      },
    };
    const adapterInFlight = usage.getUse(now, chosen.id, wanted.key).inFlight;
    if (
      now - copyRequestedAt > MIN_COPY_INTERVAL_MS &&
      isCopyWanted(chosen, mean, adapterInFlight)
    ) {
      copyRequestedAt = now;
      parts
        .getPendingLoads()
        .request({ ...wanted, urgency: COPY_URGENCY, slotWaitMs: COPY_SLOT_WAIT_MS }, () => {});
    }
  }

  /**
   * Requests a load and waits for it. Returns false if it fails, the request's deadline passes or
   * the caller disconnects.
   */
  function waitForLoad(
    request: ActiveRequest,
    wanted: { model: string; adapter: string; key: string },
  ): Promise<boolean> {
    const startedAt = host.now();
    return new Promise((resolve) => {
      let isEnded = false;
      const end = (isLoaded: boolean) => {
        if (!isEnded) {
          isEnded = true;
          const loadWaitMs = request.loadWaitMs + host.now() - startedAt;
          Object.assign(request, { loadWaitMs });
          cancelTimer();
          cancelWait();
          Object.assign(request, { abort: () => {} });
          resolve(isLoaded);
        }
      };
      const remainingMs = request.deadlineAt - host.now();
      const cancelTimer = host.setTimer(Math.max(0, remainingMs), () => end(false));
      let cancelWait = () => {};
      Object.assign(request, { abort: () => end(false) });
      const cancel = parts.getPendingLoads().request(
        {
          ...wanted,
          version: host.getVersion(wanted.key),
          urgency: request.route.urgency,
          slotWaitMs: getSlotWaitMs(host.now(), request),
          softwareVersion: request.softwareVersion,
        },
        end,
      );
      cancelWait = cancel;
    });
  }

  /**
   * Returns the engines that can load an adapter now: those that state no limit on requests, or all
   * if each states one.
   */
  function getLoadTargets(
    now: number,
    wanted: { key: string; model: string; version: number; softwareVersion?: string },
  ): LoadTarget[] {
    const { softwareVersion } = wanted;
    const usable = upstreams
      .getAll()
      .filter((upstream) =>
        (['leaving', 'resting', 'suspended'] as const).every(
          (kind) => !readiness.has(now, upstream, kind),
        ),
      )
      .filter(
        (upstream) =>
          softwareVersion === undefined || getSoftwareVersion(upstream) === softwareVersion,
      );
    const unlimited = usable.filter((upstream) => !rateLimiting.isLimited(upstream));
    const targets = getLoadTargetsAmong(now, wanted, unlimited);
    return targets.length > 0 || unlimited.length === usable.length
      ? targets
      : getLoadTargetsAmong(now, wanted, usable);
  }

  /**
   * Returns those of the engines that can load an adapter now. An engine that holds an older version
   * can't while requests use that version.
   */
  function getLoadTargetsAmong(
    now: number,
    wanted: { key: string; model: string; version: number },
    usable: readonly Upstream[],
  ): LoadTarget[] {
    return usable.flatMap((upstream) => {
      const engineState = engineStates.tryGet(upstream.id);
      const adapterSlots = host.getManifest()?.services.get(upstream.service)?.engine?.adapterSlots;
      if (!engineState?.canLoad || adapterSlots === undefined) {
        return [];
      }
      const heldAdapter = engineState.adapters.find((adapter) => adapter.key === wanted.key);
      const isOldVersionInUse =
        heldAdapter !== undefined &&
        heldAdapter.version < wanted.version &&
        usage.getUse(now, upstream.id, wanted.key).inFlight > 0;
      const hasModel = engineState.models.some((model) => model.name === wanted.model);
      if (!hasModel || isOldVersionInUse || heldAdapter?.state === 'leaving') {
        return [];
      }
      const isResident = heldAdapter?.state === 'resident' && heldAdapter.version >= wanted.version;
      const loadingCount = engineState.adapters.filter(
        (adapter) => adapter.state === 'loading',
      ).length;
      return isResident
        ? []
        : [
            {
              id: upstream.id,
              pending: engineState.queued + loadingCount,
              inFlight: usage.getInFlight(now, upstream.id),
              slots: upstream.slots,
              duration: loads.getUsualDuration(upstream),
              waitMs: host.getBacklogMs(upstream.id),
              freeAdapterSlots: adapterSlots - engineState.adapters.length,
              idleAdapterSlots: engineState.adapters.filter(
                (adapter) =>
                  adapter.state === 'resident' &&
                  usage.getUse(now, upstream.id, adapter.key).inFlight === 0,
              ).length,
            },
          ];
    });
  }

  /** Returns whether the owner of an engine with the model has not published the engine's state yet. */
  function isTargetUnknown(wanted: { model: string }): boolean {
    return upstreams.getAll().some(({ id }) => {
      const state = engineStates.tryGet(id);
      return state?.fence === 0 && state.models.some(({ name }) => name === wanted.model);
    });
  }

  function refuse(
    request: ActiveRequest,
    kind: 'noUpstream' | 'busy' | 'noAdapter',
    holders = 0,
  ): Result<never, Refusal> {
    const now = host.now();
    const { model, adapter } = request.callerRequest;
    const ready = getUsable(request);
    const key = getAdapterKey(model ?? '', adapter);
    const isEngine = host.getManifest()?.services.get(request.service)?.engine !== undefined;
    const suitable = ready.filter(
      ({ id }) => !isEngine || engineStates.isResident(id, key, host.getVersion(key)),
    );
    const limited = suitable.filter((upstream) => rateLimiting.isLimited(upstream));
    const isResting =
      holders === 0 &&
      suitable.length > 0 &&
      suitable.every((upstream) => readiness.has(now, upstream, 'resting'));
    if (isResting) {
      const endsInMs = Math.min(
        ...suitable.map((upstream) => readiness.getEndsInMs(now, upstream, 'resting')),
      );
      const retryAfterMs = getReturnMs(endsInMs, request.deadlineAt - now, host.random());
      return { ok: false, error: { kind: 'resting', retryAfterMs } };
    }
    const loadTargets =
      kind === 'noAdapter'
        ? getLoadTargets(now, { key, model: model ?? '', version: host.getVersion(key) })
        : [];
    const capacityDetails = {
      ready: ready.length,
      holders,
      homes: loadTargets.length,
      pending: loadTargets.reduce((sum, target) => sum + target.pending, 0),
      inFlight: ready.reduce((sum, { id }) => sum + usage.getInFlight(now, id), 0),
      slots: ready.reduce((sum, { slots }) => sum + slots, 0),
      waitMs: Math.min(...ready.map(({ id }) => host.getBacklogMs(id))),
    };
    const isLimited = holders === 0 && limited.length > 0;
    return {
      ok: false,
      error: {
        kind: isLimited ? 'limited' : kind,
        retryAfterMs: isLimited
          ? rateLimiting.getRetryAfterMs(now, limited)
          : getRetryAfterMs(host.random()),
        seen: capacityDetails,
      },
    };
  }

  return { place, getLoadTargets, isTargetUnknown, getPlainCandidates };
}
