import { match } from 'ts-pattern';
import DEFAULT_BOUNDS from '../allowances/DEFAULT_BOUNDS';
import createAllowanceGate from '../allowances/createAllowanceGate';
import createAllowances from '../allowances/createAllowances';
import createEngineStates from '../engines/createEngineStates';
import createOwnedEngines from '../engines/createOwnedEngines';
import createPendingLoads from '../engines/createPendingLoads';
import createOwnerLookup from '../engines/createOwnerLookup';
import createOwnerships from '../engines/createOwnerships';
import getMaxConcurrentLoads from '../engines/getMaxConcurrentLoads';
import getAdapterKey from '../engines/getAdapterKey';
import type CallerRequest from '../gateway/CallerRequest';
import createAttempts from '../gateway/createAttempts';
import createGateway from '../gateway/createGateway';
import type PlannedStop from '../gateway/PlannedStop';
import createServiceRetryBudget from '../gateway/createServiceRetryBudget';
import type ResponseWriter from '../gateway/ResponseWriter';
import type Change from '../keyValue/Change';
import type Manifest from '../manifest/Manifest';
import createUpstreamLoads from '../load/createUpstreamLoads';
import createMembers from '../members/createMembers';
import createCongestionLog from '../mesh/createCongestionLog';
import type Message from '../mesh/Message';
import createMetrics from '../metrics/createMetrics';
import chooseReaders from '../mirror/chooseReaders';
import createMirror from '../mirror/createMirror';
import readRange from '../mirror/readRange';
import tryChooseNewerVm from '../mirror/tryChooseNewerVm';
import createCached from '../shared/createCached';
import runPeriodically from '../shared/runPeriodically';
import watchLoopDelay from '../shared/watchLoopDelay';
import createUpstreamHealth from '../upstream/createUpstreamHealth';
import createUpstreams from '../upstream/createUpstreams';
import createIdentification from '../organisations/createIdentification';
import createPace from '../pace/createPace';
import createPaceTriggers from '../pace/createPaceTriggers';
import createShareWeights from '../organisations/createShareWeights';
import createPrefillScheduler from '../prefill/createPrefillScheduler';
import createPrefillClient from '../prefill/createPrefillClient';
import createBroadcaster from '../broadcast/createBroadcaster';
import rankRelays from '../broadcast/rankRelays';
import createCrashDetector from '../quarantine/createCrashDetector';
import createCrashGuard from '../quarantine/createCrashGuard';
import createBrittleServices from '../places/createBrittleServices';
import createPlaceIssuer from '../places/createPlaceIssuer';
import createPlaces from '../places/createPlaces';
import createReadiness from '../readiness/createReadiness';
import createForwarder from '../forwarding/createForwarder';
import createReach from '../reach/createReach';
import createWitnesses from '../reach/createWitnesses';
import createRateLimiting from '../rateLimits/createRateLimiting';
import createSlotIssuer from '../slots/createSlotIssuer';
import createSlotIssuers from '../slots/createSlotIssuers';
import createSlotPlacement from '../slots/createSlotPlacement';
import createSlots from '../slots/createSlots';
import createSpeedEstimate from '../slots/createSpeedEstimate';
import createStreamOrigins from '../streams/createStreamOrigins';
import getSoftwareVersion from '../streams/getSoftwareVersion';
import createUsage from '../usage/createUsage';
import createUsagePublisher from '../usage/createUsagePublisher';
import createPlacement from './createPlacement';
import handleDeparture from './handleDeparture';
import isOutdated from './isOutdated';
import receiveMessage from './receiveMessage';
import type RoutedEntryHost from './RoutedEntryHost';
import type RoutedEntryOptions from './RoutedEntryOptions';

/** A VM that has just started has received too few heartbeats to determine the readers. */
const MIN_READER_UPTIME_MS = 2000;
/** Interval at which VMs determine whether they are a reader. */
const READER_CHECK_MS = 250;
const USAGE_INTERVAL_MS = 250;
/** Interval at which owners repeat the states of their engines, for VMs that missed a message. */
const STATES_INTERVAL_MS = 2000;
/**
 * Owners repeat the states of their engines within this time of a start, and a restarted owner has its
 * engines back.
 */
const MAX_STATES_UNKNOWN_MS = 2 * STATES_INTERVAL_MS;
const OWNERSHIP_INTERVAL_MS = 250;
const PERMIT_ISSUER_INTERVAL_MS = 250;
/** Interval at which the holder of allowances is found, and what is not used is returned. */
const ALLOWANCES_INTERVAL_MS = 50;
/** The registered VMs are read this often; at the start, when many VMs register, more often. */
const REGISTERED_INTERVAL_MS = 1000;
const FIRST_REGISTERED_INTERVAL_MS = 100;
const FIRST_REGISTRATIONS_MS = 5000;
/** Keys of the VMs that are registered in the key-value service; see `src/members`. */
const MEMBER_PREFIX = '/baobablink/members/';
const SLOT_ISSUER_INTERVAL_MS = 250;
/** Interval at which limits of upstreams are repeated, for VMs that missed them. */
const LIMITS_INTERVAL_MS = 1000;
const REACH_INTERVAL_MS = 250;
/** Callers get the addresses of at least this part of the VMs that serve. */
const MIN_LISTED_PART = 0.3;
/** Interval at which departures of upstreams are repeated, for VMs that missed them. */
const DEPARTURES_INTERVAL_MS = 1000;
const ORIGINS_INTERVAL_MS = 50;
/**
 * Below the time after which a new software version is used, so that a VM whose mirror is this old
 * knows of it.
 */
const UP_TO_DATE_MS = 2000;
/** Interval at which blocks are repeated, for VMs that missed them. */
const BLOCKS_INTERVAL_MS = 1000;
/** Characters that are logged of a registration that can't be decoded. */
const MAX_LOGGED_LENGTH = 200;

/**
 * Composes the controllers of one entry VM that routes by a manifest. All I/O goes through the
 * host.
 */
export default function createRoutedEntry(host: RoutedEntryHost, options: RoutedEntryOptions) {
  const { address } = options;
  const incarnation = host.createNonce();
  const startedAt = host.now();
  const metrics = createMetrics();
  const usage = createUsage((upstream) => {
    usagePublisher.publishIdle(upstream);
    engines.tryGet(upstream)?.handleUseChange();
  });
  const health = createUpstreamHealth();
  const pace = createPace({
    ...host,
    setPacedCount: (count) => metrics.pacedUpstreams.set(count),
    countFall: (reason) => metrics.paceFalls.inc({ reason }),
  });
  const paceTriggers = createPaceTriggers(
    {
      isStated: (service) => loads.isStated(service),
      isServiceReachable: () => mirror.isServiceReachable(),
      getUpstreams: () => upstreams.getAll(),
      tryGetUpstream: (id) => upstreams.tryGet(id),
      getInFlight: usage.getInFlight,
    },
    pace,
    { startedAt },
  );
  const loads = createUpstreamLoads({
    getOwnInFlight: usage.getOwnInFlight,
    tryGetUpstream: (id) => upstreams.tryGet(id),
    onAnswer: pace.recordAnswer,
    onStated: (now, id, waiting, isFirst) => {
      pace.recordWaiting(now, id, waiting);
      if (isFirst) {
        paceTriggers.observeFirstStatement(now, id);
      }
    },
    onRejection: pace.recordRejection,
  });
  const engineStates = createEngineStates();
  const getShareWeight = createShareWeights();
  const prefill = createPrefillScheduler(host.setTimer, (organisation) =>
    getShareWeight(manifest?.organisations, organisation),
  );
  const versions = new Map<string, number>();
  let manifest: Manifest | undefined;
  let isAllowanceNeeded = false;
  let isRegistrationRead = false;
  /** Returns the VMs that are registered, or may run without a registration, this one included. */
  const listVms = (now: number) => {
    const registered = mirror
      .getAll(MEMBER_PREFIX)
      .map(({ key }) => key.slice(MEMBER_PREFIX.length));
    return [...new Set([address, ...registered, ...members.getPossibleHolders(now)])];
  };
  const getVmsAtStart = createCached(FIRST_REGISTERED_INTERVAL_MS, listVms);
  const getVms = createCached(REGISTERED_INTERVAL_MS, listVms);
  let resumableServices: ReadonlySet<string> = new Set();

  /** Returns whether this VM reads the key-value service on behalf of the others. */
  const isReader = createCached(READER_CHECK_MS, isChosenAsReader);
  const mirror = createMirror({
    ...host,
    feed: host.keyValue,
    isReader: (now) => now - startedAt >= MIN_READER_UPTIME_MS && isReader(now),
    broadcast: (batch) => broadcaster.broadcast({ kind: 'news', ...batch }),
    requestSnapshot: () => broadcaster.broadcastNearby({ kind: 'newsWanted' }),
    requestChanges,
    isOutdated: (change, known) => isOutdated(host.decodeChange(change), host.decodeChange(known)),
    onChange: applyChange,
  });
  const tryGetOwner = createOwnerLookup(mirror.tryGet);
  const members = createMembers(
    {
      ...host,
      keyValue: {
        ...host.keyValue,
        // The registry is read from the mirror, without a call to the key-value service.
        range: async ({ key }) => readRange(mirror, key),
        keepLeaseAlive: async (lease) => {
          const renewed = await host.keyValue.keepLeaseAlive(lease);
          mirror.recordCall(renewed.ok ? undefined : renewed.error.kind);
          return renewed;
        },
      },
      tryGetVmList: async () => undefined,
      getHeartbeatFields: (now) => ({
        tableRevision: manifest?.version ?? 0,
        newestRow: mirror.getRevision(),
        confirmedAgeMs: mirror.getRevision() > 0 ? now - mirror.getConfirmedAt() : undefined,
        inFlight: gateway.getInFlight(),
        isServiceLost: mirror.isServiceReachable() ? undefined : true,
      }),
      onHeartbeat: (now, member) => mirror.compareRevision(now, member.newestRow),
    },
    {
      address,
      dataCentre: options.dataCentre,
      callerAddress: options.callerAddress,
      incarnation,
      linkMbps: options.linkMbps,
      seeds: options.seeds,
      leaseSeconds: options.leaseSeconds,
    },
  );
  const broadcaster = createBroadcaster({ ...host, members }, options);
  const rateLimiting = createRateLimiting(
    {
      ...host,
      members,
      isRegistered: (id) => upstreams.tryGet(id) !== undefined,
      broadcast: broadcaster.broadcast,
      setLimitCount: (count) => metrics.limitedUpstreams.set(count),
      countPermit: (outcome) => metrics.permits.inc({ outcome }),
    },
    { address, incarnation },
  );
  const upstreams = createUpstreams({
    ...host,
    getKeyValueFailedAt: mirror.getFailedAt,
    getKeyValueRestoredAt: mirror.getRestoredAt,
    onChange: (upstream) => {
      readiness.observeRegistration(host.now(), upstream);
      paceTriggers.observeRegistration(host.now(), upstream);
      engineStates.applyRegistration(upstream);
      engines.reopenIfRestarted(upstream);
      pendingLoads.resolveServable();
    },
    onRemoved: (id) => {
      engineStates.remove(id);
      health.remove(id);
      loads.remove(id);
      pace.remove(id);
      paceTriggers.remove(id);
      usage.remove(id);
      rateLimiting.remove(id);
      places.remove(id);
      speed.remove(id);
      prefill.remove(id);
      engines.close(id);
    },
  });
  const brittleServices = createBrittleServices({ ...host, broadcast: broadcaster.broadcast });
  const places = createPlaces(
    { ...host, tryGetIssuer: rateLimiting.tryGetIssuer },
    {
      brittleServices,
      issuer: createPlaceIssuer({
        tryGetUpstream: upstreams.tryGet,
        getInFlight: usage.getInFlight,
      }),
    },
    { address },
  );
  const readiness = createReadiness(
    {
      ...host,
      broadcast: broadcaster.broadcast,
      onDeparture: (now, id) =>
        handleDeparture(now, id, {
          prefillClient,
          pendingLoads,
          engines,
          upstreams,
          readiness,
          usage,
          engineStates,
          getVersion,
        }),
      countNotice: (kind) => metrics.readinessNotices.inc({ kind }),
    },
    { upstreams, rateLimiting, places, health, engineStates },
  );
  const ownerships = createOwnerships(
    {
      ...host,
      mirror,
      members,
      getPartitionedMs: (now) => reach.getPartitionedMs(now),
      isPeerPartitioned: (now, vm) => reach.isPeerPartitioned(now, vm),
      tryGetRun: (engine) => upstreams.tryGet(engine)?.startedAt,
      onAcquired: (engine, fence, former) => {
        broadcaster.broadcast({ kind: 'engineClaimed', engine, fence, owner: address });
        if (former) {
          engines.take(engine, former.firstRun);
        } else {
          engines.open(engine);
        }
      },
      onLost: (engine) => engines.close(engine),
    },
    { address, incarnation, leaseMs: options.takeoverDelayMs },
  );
  const engines = createOwnedEngines(
    {
      ...host,
      control: host.engines,
      tryGetFence: ownerships.tryGetFence,
      getVersion,
      getEngineService: (service) => manifest?.services.get(service)?.engine,
      isPartitioned: () => reach.isPartitioned(),
      getRestMs: readiness.getRestMs,
      observeHead: (upstream, status, headers) => {
        const head = host.decodeHead(status, headers);
        readiness.observe(host.now(), upstream, head);
        loads.observe(host.now(), upstream, head.load);
      },
      getMaxConcurrentLoads: (engine) =>
        getMaxConcurrentLoads(getEngineIds().length, engineStates.getLoadCountElsewhere(engine)),
      announce: (state, requesters) => {
        receive(address, { kind: 'engineState', ...state });
        usagePublisher.publishState(state, requesters);
      },
      refuse: (requester, engine, key) =>
        sendOrDeliver(requester, { kind: 'loadRefused', engine, key }),
      countCommand: (kind, outcome) => metrics.loads.inc({ outcome: `${kind} ${outcome}` }),
    },
    { upstreams, usage },
    options,
  );
  const usagePublisher = createUsagePublisher(
    {
      ...host,
      tryGetOwner,
      takeUpstreamReports: loads.takeReports,
      broadcaster,
      getOwnedEngines: (now) => {
        const backlogs = prefill.getBacklogs(engines.getIds());
        return backlogs.map(([engine, backlogMs]) => ({
          engine,
          backlogMs,
          busy: usage.getBusyAdapters(now, engine),
        }));
      },
    },
    usage,
    options,
  );
  const placement = createPlacement(
    {
      ...host,
      getManifest: () => manifest,
      getVersion,
      getBacklogMs: prefill.getBacklogMs,
      getPace: pace.getLimit,
      isVersionKnownToAll: (now, upstream) => streamOrigins.isKnownToAll(now, upstream),
    },
    {
      upstreams,
      usage,
      loads,
      health,
      readiness,
      engineStates,
      rateLimiting,
      getPendingLoads: () => pendingLoads,
    },
    options,
  );
  const pendingLoads = createPendingLoads({
    ...host,
    getLoadTargets: placement.getLoadTargets,
    isTargetExpected: (now, wanted) =>
      now - startedAt < MAX_STATES_UNKNOWN_MS && placement.isTargetUnknown(wanted),
    sendRequest: (engine, wanted, waitMs) => {
      const owner = tryGetOwner(engine);
      const { model, adapter, version, urgency } = wanted;
      const message: Message = {
        kind: 'loadWanted',
        engine,
        model,
        adapter,
        version,
        urgency,
        waitMs,
      };
      return owner !== undefined && sendOrDeliver(owner, message);
    },
    isServable: (now, wanted) =>
      engineStates.getHolders(wanted.key, wanted.version).some((engine) => {
        const upstream = upstreams.tryGet(engine);
        return (
          upstream !== undefined &&
          (wanted.softwareVersion === undefined ||
            getSoftwareVersion(upstream) === wanted.softwareVersion) &&
          readiness.isOpen(now, upstream)
        );
      }),
  });
  const prefillClient = createPrefillClient({
    ...host,
    sendRequest: (engine, prefillRequest, waitMs) => {
      const owner = tryGetOwner(engine);
      return (
        owner !== undefined &&
        sendOrDeliver(owner, { kind: 'turnWanted', engine, ...prefillRequest, waitMs })
      );
    },
  });
  const crashGuard = createCrashGuard({
    ...host,
    tryGetRecord: mirror.tryGet,
    isWriter: isReader,
    isHub: (now) => broadcaster.getHub(now) === address,
    broadcast: broadcaster.broadcast,
    broadcastNearby: broadcaster.broadcastNearby,
    setBlockCount: (count) => metrics.blocks.set(count),
  });
  const witnesses = createWitnesses({
    ...host,
    tryGetUpstream: upstreams.tryGet,
    getPeers: (now) =>
      members.getMembers().filter(({ address: vm }) => members.hasRecentHeartbeat(now, vm)),
  });
  const crashDetector = createCrashDetector({
    ...host,
    isReachedByOthers: witnesses.isReachedByOthers,
    onCrash: (report) => crashGuard.reportCrash(host.now(), report),
  });
  const streamOrigins = createStreamOrigins(
    {
      ...host,
      tryGetRecord: mirror.tryGet,
      isWriter: isReader,
      isUpToDate: (now) => now - mirror.getConfirmedAt() < UP_TO_DATE_MS || isConnected(now),
      getUpstreams: upstreams.getAll,
      getServices: () => resumableServices,
      getHub: broadcaster.getHub,
      getDataCentreCount: () =>
        new Set(members.getMembers().map(({ dataCentre }) => dataCentre)).size,
      broadcast: broadcaster.broadcast,
    },
    { address, incarnation },
  );
  const retryBudget = createServiceRetryBudget(members.getSharerCount, options.getRetryLimits);
  const attempts = createAttempts(
    {
      ...host,
      isRetryAllowed: retryBudget.isAllowed,
      tryGetBlock: crashGuard.tryGetBlock,
      recordStreamBegin: streamOrigins.recordBegin,
      recordServed: crashGuard.recordServed,
      recordBegun: crashGuard.recordBegun,
      observeReadiness: (now, upstream, head) => {
        readiness.observe(now, upstream, head);
        brittleServices.observe(now, upstream, head);
        loads.observe(now, upstream, head.load);
      },
      recordDuration: loads.recordDuration,
      recordRejection: loads.recordRejection,
      recordSuspension: paceTriggers.observeSuspension,
      recordByte: (now) => reach.recordByte(now),
      recordDoubt: (now) => reach.recordDoubt(now),
      getService: (name) => manifest?.services.get(name),
      getVmCount: members.getSharerCount,
      endPrefill: (engine, id) => {
        const owner = tryGetOwner(engine);
        if (owner !== undefined) {
          sendOrDeliver(owner, { kind: 'turnOver', engine, id });
        }
      },
      reportMissingAdapter: (engine, key) => {
        engineStates.removeAdapter(engine, key);
        const owner = tryGetOwner(engine);
        if (owner !== undefined) {
          sendOrDeliver(owner, { kind: 'engineDoubted', engine });
        }
      },
    },
    { readiness, usage, health, prefillClient, rateLimiting, places, crashDetector },
  );
  const speed = createSpeedEstimate();
  const slotIssuers = createSlotIssuers({ members }, { ...options, startedAt });
  const getReadyUpstreams = (now: number, service: string) =>
    upstreams
      .getAll()
      .filter(
        (upstream) => upstream.service === service && !readiness.has(now, upstream, 'leaving'),
      );
  const slots = createSlots(
    {
      ...host,
      countSlot: (outcome) => metrics.slots.inc({ outcome }),
    },
    {
      issuer: createSlotIssuer({
        ...host,
        isIssuer: (now, service) => slotIssuers.tryGetIssuer(now, service) === address,
        getUpstreams: getReadyUpstreams,
        getExpectedMs: speed.getExpectedMs,
        getFailureRate: health.getFailureRate,
        recordDuration: speed.record,
        getInFlight: usage.getInFlight,
        getDataCentre: (vm) =>
          members.getMembers().find((member) => member.address === vm)?.dataCentre ??
          options.dataCentre,
        isAlive: members.isAlive,
        sendOrDeliver,
      }),
      issuers: slotIssuers,
    },
    { address },
  );
  const slotPlacement = createSlotPlacement(
    {
      ...host,
      getManifest: () => manifest,
      getUpstreams: getReadyUpstreams,
      tryGetUpstream: upstreams.tryGet,
      isPlaceNeeded: places.isNeeded,
      isLoadUnstated: loads.isUnstated,
      isResting: (now, upstream) => readiness.has(now, upstream, 'resting'),
      getVmCount: members.getSharerCount,
      getPlainCandidates: placement.getPlainCandidates,
      place: placement.place,
      attempt: attempts.attempt,
    },
    slots,
  );
  const reach = createReach({
    ...host,
    getUpstreams: upstreams.getAll,
    hasWaited: attempts.hasWaited,
    getLastByteAt: attempts.getLastByteAt,
    broadcast: broadcaster.broadcast,
    onPartitioned: () => {
      attempts.leaveUpstreams();
      engines.withdrawSilences();
    },
  });
  const forwarder = createForwarder(
    {
      ...host,
      isPartitioned: reach.isPartitioned,
      isPeerPartitioned: reach.isPeerPartitioned,
      getPeers: (now) => {
        const serving = new Set(members.getServing(now));
        return members.getMembers().filter((member) => serving.has(member.address));
      },
      countForward: (outcome) => metrics.forwards.inc({ outcome }),
    },
    options,
  );
  const identification = createIdentification({
    getUnconfirmedMs: (now) => now - mirror.getConfirmedAt(),
    getMaxUnconfirmedMs: () => options.getMaxUnconfirmedMs?.() ?? Infinity,
  });
  const allowances = createAllowances(
    {
      ...host,
      isNeeded: () => isAllowanceNeeded,
      getManifestVersion: () => manifest?.version ?? 0,
      getBounds: options.getAllowanceBounds ?? (() => DEFAULT_BOUNDS),
      tryGetVms,
      rankHolders,
      onElected: (missing) => host.log('allowanceHolderElected', { missing }),
    },
    { address, run: incarnation, startedAt },
  );
  const allowanceGate = createAllowanceGate(
    { ...host, countRequest: (outcome) => metrics.allowances.inc({ outcome }) },
    allowances,
  );
  const gateway = createGateway({
    ...host,
    getManifest: () => manifest,
    identify: identification.identify,
    place: slotPlacement.place,
    attempt: slotPlacement.attempt,
    isPartitioned: reach.isPartitioned,
    tryGetCarrier: forwarder.tryGetCarrier,
    forward: forwarder.forward,
    tryGetBlock: crashGuard.tryGetBlock,
    tryGetOrigin: streamOrigins.tryGetOrigin,
    tryGetLimit: rateLimiting.tryGet,
    acquireAllowance: allowanceGate.acquire,
    recordRequest: retryBudget.recordRequest,
    tryRetry: retryBudget.tryTake,
    metrics,
  });

  const receiverHost = {
    ...host,
    address,
    dataCentre: options.dataCentre,
    sendOrDeliver,
    getVersion,
  };
  const parts = {
    members,
    mirror,
    broadcaster,
    usage,
    loads,
    prefill,
    usagePublisher,
    engineStates,
    pendingLoads,
    ownerships,
    engines,
    readiness,
    prefillClient,
    rateLimiting,
    allowances,
    crashGuard,
    streamOrigins,
    brittleServices,
    places,
    slots,
    reach,
    witnesses,
  };

  function isChosenAsReader(now: number): boolean {
    const isServiceLost = !mirror.isServiceReachable();
    const self = { address, linkMbps: options.linkMbps ?? 0, isServiceLost };
    const serving = new Set(members.getServing(now));
    const vms = [...members.getMembers(), self].filter((vm) => serving.has(vm.address));
    return chooseReaders(vms).includes(address);
  }

  /** Returns the VMs that may run; undefined until this VM has read its own registration. */
  function tryGetVms(now: number): readonly string[] | undefined {
    isRegistrationRead ||= mirror.tryGet(`${MEMBER_PREFIX}${address}`)?.value !== undefined;
    if (!isRegistrationRead) {
      return undefined;
    }
    return now - startedAt < FIRST_REGISTRATIONS_MS ? getVmsAtStart(now) : getVms(now);
  }

  /** Returns the VMs that may hold the accounts of allowances: of those that serve, fast links first. */
  function rankHolders(now: number): string[] {
    const { linkMbps = 0 } = options;
    const serving = new Set(members.getServing(now));
    const vms = [...members.getMembers(), { address, linkMbps }];
    return rankRelays(
      'allowances',
      vms.filter((vm) => serving.has(vm.address)),
    );
  }

  /** Returns whether this VM has recently received heartbeats of most of the others. */
  function isConnected(now: number): boolean {
    const others = members.getMembers();
    const heard = others.filter((member) => members.hasRecentHeartbeat(now, member.address));
    return heard.length * 2 >= others.length;
  }

  /** Requests changes from a VM whose mirror is newer; returns false if there is none. */
  function requestChanges(now: number, afterRevision: number, ownRevision: number): boolean {
    const vms = members
      .getMembers()
      .filter((member) => members.hasRecentHeartbeat(now, member.address));
    const vm = tryChooseNewerVm(vms, ownRevision, options.dataCentre, host.random());
    return vm !== undefined && host.send(vm, { kind: 'newsWanted', afterRevision });
  }

  function getVersion(key: string): number {
    return versions.get(key) ?? 0;
  }

  function applyChange(now: number, change: Change, isForgotten: boolean): void {
    if (isForgotten) {
      streamOrigins.handleForgotten(change.key);
    } else {
      crashGuard.receiveRecord(now, change.key, change.value);
      streamOrigins.receiveRecord(now, change.key, change.value);
    }
    match(host.decodeChange(change))
      .with({ kind: 'manifest' }, (decoded) => applyManifest(decoded.manifest, change.revision))
      .with({ kind: 'upstream' }, ({ id, upstream }) => {
        if (!upstream && change.value !== undefined) {
          const text = change.value.slice(0, MAX_LOGGED_LENGTH);
          host.log('upstreamUnreadable', { upstream: id, revision: change.revision, text });
        }
        upstreams.update(id, upstream);
      })
      .with({ kind: 'version' }, ({ model, adapter, version }) => {
        const key = getAdapterKey(model, adapter);
        if (version > getVersion(key)) {
          versions.set(key, version);
          host.log('versionApplied', { adapter: key, version, revision: change.revision });
        }
      })
      .with({ kind: 'other' }, () => {})
      .exhaustive();
  }

  function applyManifest(newManifest: Manifest | undefined, revision: number): void {
    if (!newManifest) {
      host.log('manifestRefused', { inForce: manifest?.version });
      return;
    }
    if (manifest && newManifest.version <= manifest.version) {
      return;
    }
    manifest = newManifest;
    isAllowanceNeeded = [...(newManifest.organisations?.values() ?? [])].some(
      ({ allowance }) => allowance !== undefined,
    );
    resumableServices = new Set(
      newManifest.routes
        .filter(({ isResumable }) => isResumable)
        .flatMap(({ targets }) => targets.map(({ service }) => service)),
    );
    metrics.tableRevision.set(newManifest.version);
    host.log('manifestApplied', {
      manifest: newManifest.version,
      routes: newManifest.routes.length,
      revision,
      unconfirmedMs: Math.round(host.now() - mirror.getConfirmedAt()),
    });
  }

  function sendOrDeliver(to: string, message: Message): boolean {
    if (to === address) {
      receive(address, message);
      return true;
    }
    return host.send(to, message);
  }

  /** Handles a message of another entry VM, or one that this VM sends to itself. */
  function receive(from: string, message: Message): void {
    receiveMessage(receiverHost, parts, from, message);
  }

  function start(): void {
    mirror.start();
    members.start();
    watchLoopDelay(host, (delayMs) => {
      metrics.loopDelay.observe(delayMs / 1000);
      host.log('loopDelayed', { delayMs, requests: gateway.getInFlight() });
    });
    runPeriodically(host, OWNERSHIP_INTERVAL_MS, () => ownerships.reconcile(getEngineIds()));
    const checkCongestion = createCongestionLog({
      ...host,
      setQueuedBytes: (bytes) => metrics.meshQueuedBytes.set(bytes),
    });
    runPeriodically(host, USAGE_INTERVAL_MS, () => {
      usagePublisher.publish();
      paceTriggers.refresh(host.now());
      checkCongestion(host.now());
    });
    runPeriodically(host, PERMIT_ISSUER_INTERVAL_MS, () => rateLimiting.refresh(host.now()));
    runPeriodically(host, ALLOWANCES_INTERVAL_MS, () => {
      if (isAllowanceNeeded) {
        allowances.refresh(host.now());
        metrics.isAllowanceHolder.set(allowances.isHolder(host.now()) ? 1 : 0);
      }
    });
    runPeriodically(host, SLOT_ISSUER_INTERVAL_MS, () => slots.refresh(host.now()));
    runPeriodically(host, REACH_INTERVAL_MS, () => {
      reach.refresh(host.now());
      metrics.isPartitioned.set(reach.isPartitioned() ? 1 : 0);
    });
    runPeriodically(host, DEPARTURES_INTERVAL_MS, () => {
      readiness.publish(host.now());
      metrics.membersHeard.set(members.getServing(host.now()).length);
    });
    runPeriodically(host, LIMITS_INTERVAL_MS, () => rateLimiting.publish(host.now()));
    runPeriodically(host, STATES_INTERVAL_MS, () => engines.announceStates());
    runPeriodically(host, ORIGINS_INTERVAL_MS, () => streamOrigins.publish(host.now()));
    runPeriodically(host, BLOCKS_INTERVAL_MS, () => crashGuard.publish(host.now()));
  }

  function getEngineIds(): string[] {
    return upstreams
      .getAll()
      .filter((upstream) => manifest?.services.get(upstream.service)?.engine !== undefined)
      .map(({ id }) => id);
  }

  /**
   * Returns the addresses at which callers reach the VMs that serve: those in `dataCentre` if there
   * are at least two, otherwise all. VMs that reach no upstream are left out, unless the others
   * would be too few.
   */
  function getCallerAddresses(dataCentre: string): string[] {
    const serving = new Set(members.getServing(host.now()));
    const otherServing = members.getMembers().filter((member) => serving.has(member.address));
    const ready = isReady() ? [...otherServing, options] : otherServing;
    const now = host.now();
    const inReach = ready.filter((vm) =>
      'address' in vm && vm.address !== address
        ? !reach.isPeerPartitioned(now, vm.address)
        : !reach.isPartitioned(),
    );
    const all = inReach.length >= ready.length * MIN_LISTED_PART ? inReach : ready;
    const nearby = all.filter((vm) => vm.dataCentre === dataCentre);
    return (nearby.length > 1 ? nearby : all).map((vm) => vm.callerAddress);
  }

  function isReady(): boolean {
    return manifest !== undefined && !members.isLeaving();
  }

  /**
   * Takes only requests that can end in time, announces to the other VMs that this one accepts no new
   * requests, stops managing its engines and releases its lease, so that other VMs can take the
   * engines over.
   */
  async function startLeaving(plannedStop: PlannedStop): Promise<void> {
    gateway.startLeaving(plannedStop);
    members.announceLeaving();
    engines.getIds().forEach(engines.close);
    await members.releaseLease();
  }

  return {
    start,
    startLeaving,
    endRequests: gateway.endAll,
    receive,
    isReady,
    getCallerAddresses,
    handle: (callerRequest: CallerRequest, response: ResponseWriter) =>
      gateway.handle(host.now(), callerRequest, response),
    refuse: gateway.refuse,
    getInFlight: gateway.getInFlight,
    crashGuard,
    getLimits: () => manifest?.limits,
    /** Returns the revision of the key-value service that this VM's mirror has. */
    getRevision: mirror.getRevision,
    metrics,
  };
}
