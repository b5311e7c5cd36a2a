import { match } from 'ts-pattern';
import createEngineStates from '../engines/createEngineStates';
import createOwnedEngines from '../engines/createOwnedEngines';
import createPendingLoads from '../engines/createPendingLoads';
import createOwnerships from '../engines/createOwnerships';
import getMaxConcurrentLoads from '../engines/getMaxConcurrentLoads';
import getAdapterKey from '../engines/getAdapterKey';
import type CallerRequest from '../gateway/CallerRequest';
import createAttempts from '../gateway/createAttempts';
import createGateway from '../gateway/createGateway';
import createServiceRetryBudget from '../gateway/createServiceRetryBudget';
import type ResponseWriter from '../gateway/ResponseWriter';
import type Change from '../keyValue/Change';
import type Manifest from '../manifest/Manifest';
import createMembers from '../members/createMembers';
import type Message from '../mesh/Message';
import createMetrics from '../metrics/createMetrics';
import createMirror from '../mirror/createMirror';
import readRange from '../mirror/readRange';
import runPeriodically from '../shared/runPeriodically';
import rankByRendezvous from '../shared/rankByRendezvous';
import createUpstreamHealth from '../upstream/createUpstreamHealth';
import createUpstreams from '../upstream/createUpstreams';
import createPrefillScheduler from '../prefill/createPrefillScheduler';
import createPrefillClient from '../prefill/createPrefillClient';
import type PrefillState from '../prefill/PrefillState';
import createBroadcaster from '../broadcast/createBroadcaster';
import createUsage from '../usage/createUsage';
import getUsageSource from '../usage/getUsageSource';
import createUsagePublisher from '../usage/createUsagePublisher';
import createPlacement from './createPlacement';
import type RoutedEntryHost from './RoutedEntryHost';
import type RoutedEntryOptions from './RoutedEntryOptions';

/** VMs that read the key-value service for all: one may be lost without a pause. */
const READERS = 2;
/** A VM that has just started hears too few others to know who reads for all. */
const READER_SETTLE_MS = 2000;
const USAGE_PAUSE_MS = 250;
/** Owners repeat their engines' states for VMs that missed one. */
const REPEAT_STATES_MS = 2000;
const OWNERSHIP_PAUSE_MS = 250;
/** Characters shown of an entry that can't be read. */
const MAX_SHOWN = 200;

/** Composes one entry VM that routes by a manifest. All I/O goes through the host. */
export default function createRoutedEntry(host: RoutedEntryHost, options: RoutedEntryOptions) {
  const { address } = options;
  const incarnation = host.getNonce();
  const startedAt = host.now();
  const metrics = createMetrics();
  const usage = createUsage();
  const health = createUpstreamHealth();
  const views = createEngineStates();
  const prefill = createPrefillScheduler(host.setTimer);
  const versions = new Map<string, number>();
  let manifest: Manifest | undefined;

  const mirror = createMirror({
    ...host,
    feed: host.keyValue,
    isReader: (now) =>
      now - startedAt >= READER_SETTLE_MS &&
      rankByRendezvous('readers', members.getServing(now)).slice(0, READERS).includes(address),
    broadcast: (news) => broadcaster.broadcast({ kind: 'news', ...news }),
    requestSnapshot: () => broadcaster.broadcastNearby({ kind: 'newsWanted' }),
    onChange: applyChange,
  });
  const members = createMembers(
    {
      ...host,
      // The registry is read from the copy of the store: no call is made for it.
      keyValue: { ...host.keyValue, range: async ({ key }) => readRange(mirror, key) },
      tryGetList: async () => undefined,
      getHeartbeatFields: (now) => ({
        tableRevision: manifest?.version ?? 0,
        newestRow: mirror.getRevision(),
        confirmedAgeMs: now - mirror.getConfirmedAt(),
        inFlight: gateway.getInFlight(),
      }),
      onHeartbeat: (now) => metrics.membersHeard.set(members.getServing(now).length),
    },
    {
      address,
      dataCentre: options.dataCentre,
      callerAddress: options.callerAddress,
      incarnation,
      seeds: options.seeds,
      leaseSeconds: options.leaseSeconds,
    },
  );
  const broadcaster = createBroadcaster({ ...host, members }, options);
  const upstreams = createUpstreams({
    ...host,
    getStoreFailedAt: mirror.getFailedAt,
    onChange: (upstream) => {
      views.applyRegistration(upstream);
      engines.reopenIfRestarted(upstream);
      loads.resolveServable();
    },
    onRemoved: (id) => {
      views.remove(id);
      health.remove(id);
      usage.remove(id);
      prefill.remove(id);
      engines.close(id);
    },
  });
  const ownerships = createOwnerships(
    {
      ...host,
      mirror,
      members,
      onAcquired: (engine, fence) => {
        broadcaster.broadcast({ kind: 'engineClaimed', engine, fence });
        engines.open(engine);
      },
      onLost: (engine) => engines.close(engine),
    },
    { address, incarnation, leaseMs: options.orderGapMs },
  );
  const engines = createOwnedEngines(
    {
      ...host,
      control: host.engines,
      tryGetFence: ownerships.tryGetFence,
      getVersion,
      getEngineService: (service) => manifest?.services.get(service)?.engine,
      getMaxConcurrentLoads: (engine) =>
        getMaxConcurrentLoads(getEngineIds().length, views.getLoadCountElsewhere(engine)),
      announce: (state, askers) => {
        receive(address, { kind: 'engineState', ...state });
        usagePublisher.publishState(state, askers);
      },
      refuse: (asker, engine, key) => sendOrDeliver(asker, { kind: 'loadRefused', engine, key }),
      countCommand: (kind, outcome) => metrics.loads.inc({ outcome: `${kind} ${outcome}` }),
    },
    { upstreams, usage },
    options,
  );
  const usagePublisher = createUsagePublisher(
    {
      ...host,
      tryGetOwner,
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
    },
    { upstreams, usage, health, views, getPendingLoads: () => loads },
    options,
  );
  const loads = createPendingLoads({
    ...host,
    getLoadTargets: placement.getLoadTargets,
    sendRequest: (engine, ask, waitMs) => {
      const owner = tryGetOwner(engine);
      const { model, adapter, version, urgency } = ask;
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
    isServable: (_, ask) =>
      upstreams
        .getAll()
        .some(({ id, state }) => state === 'ready' && views.isResident(id, ask.key, ask.version)),
  });
  const prefillClient = createPrefillClient({
    ...host,
    sendRequest: (engine, asked, waitMs) => {
      const owner = tryGetOwner(engine);
      return (
        owner !== undefined &&
        sendOrDeliver(owner, { kind: 'turnWanted', engine, ...asked, waitMs })
      );
    },
  });
  const retryBudget = createServiceRetryBudget(
    (now) => members.getServing(now).length,
    options.getRetryLimits,
  );
  const gateway = createGateway({
    ...host,
    getManifest: () => manifest,
    place: placement.place,
    attempt: createAttempts(
      {
        ...host,
        getService: (name) => manifest?.services.get(name),
        getVmCount: (now) => members.getServing(now).length,
        endPrefill: (engine, id) => {
          const owner = tryGetOwner(engine);
          if (owner !== undefined) {
            sendOrDeliver(owner, { kind: 'turnOver', engine, id });
          }
        },
        reportMissingAdapter: (engine, key) => {
          views.removeAdapter(engine, key);
          const owner = tryGetOwner(engine);
          if (owner !== undefined) {
            sendOrDeliver(owner, { kind: 'engineDoubted', engine });
          }
        },
      },
      { upstreams, usage, health, prefillClient: prefillClient },
    ),
    recordRequest: retryBudget.recordRequest,
    tryRetry: retryBudget.tryTake,
    metrics,
  });

  function getVersion(key: string): number {
    return versions.get(key) ?? 0;
  }

  function applyChange(_: number, change: Change): void {
    match(host.decodeChange(change))
      .with({ kind: 'manifest' }, (reading) => applyManifest(reading.manifest))
      .with({ kind: 'upstream' }, ({ id, upstream }) => {
        if (!upstream && change.value !== undefined) {
          const text = change.value.slice(0, MAX_SHOWN);
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

  function applyManifest(next: Manifest | undefined): void {
    if (!next) {
      host.log('manifestRefused', { inForce: manifest?.version });
      return;
    }
    if (manifest && next.version <= manifest.version) {
      return;
    }
    manifest = next;
    metrics.tableRevision.set(next.version);
    host.log('manifestApplied', { manifest: next.version, routes: next.routes.length });
  }

  function tryGetOwner(engine: string): string | undefined {
    const value = mirror.tryGet(`/baobablink/engines/${engine}`)?.value;
    return value === undefined ? undefined : (JSON.parse(value) as { holder: string }).holder;
  }

  function sendOrDeliver(to: string, message: Message): boolean {
    if (to === address) {
      receive(address, message);
      return true;
    }
    return host.send(to, message);
  }

  /** Takes a message of another entry VM, or one that this VM sends to itself. */
  function receive(from: string, message: Message): void {
    const now = host.now();
    match(message)
      .with({ kind: 'heartbeat' }, (heartbeat) => members.receive(from, heartbeat))
      .with({ kind: 'news' }, (news) => mirror.applyBatch(news))
      .with({ kind: 'newsWanted' }, () => {
        const whole = mirror.getSnapshot();
        if (whole) {
          host.send(from, { kind: 'news', ...whole });
        }
      })
      .with({ kind: 'forward' }, (forwarded) => {
        const inner = broadcaster.receiveForward(forwarded.message);
        if (inner) {
          receive(from, inner);
        }
      })
      .with({ kind: 'share' }, ({ upstream, share }) =>
        usage.receiveAdapterUsage(now, from, upstream, share),
      )
      .with({ kind: 'usage' }, (tidings) => {
        const { dataCentre, loads: told } = tidings;
        usage.receiveInFlightCounts(
          now,
          getUsageSource(from, dataCentre, options.dataCentre),
          told,
        );
        tidings.engines.forEach(({ engine, backlogMs, busy }) => {
          prefill.updateBacklogs([[engine, backlogMs]]);
          usage.receiveBusyAdapters(now, engine, busy);
        });
        usagePublisher.collect(tidings);
        if (tidings.states.filter(views.applyState).length > 0) {
          loads.resolveServable();
        }
      })
      .with({ kind: 'engineState' }, (state) => {
        if (views.applyState(state)) {
          loads.resolveServable();
        }
      })
      .with({ kind: 'engineClaimed' }, ({ engine, fence }) => ownerships.handleClaim(engine, fence))
      .with({ kind: 'loadWanted' }, (wanted) => {
        const engine = engines.tryGet(wanted.engine);
        const { model, adapter, version, urgency, waitMs } = wanted;
        if (!engine) {
          const key = getAdapterKey(model, adapter);
          sendOrDeliver(from, { kind: 'loadRefused', engine: wanted.engine, key });
          return;
        }
        const needed = Math.max(version, getVersion(getAdapterKey(model, adapter)));
        engine.requestLoad(
          { model, adapter, version: needed, urgency, expiresAt: now + waitMs },
          from,
        );
      })
      .with({ kind: 'turnWanted' }, ({ engine, waitMs, kind: _, ...asked }) => {
        const answer = (state: PrefillState) =>
          sendOrDeliver(from, { kind: 'turn', id: asked.id, state });
        const state = prefill.request(now, engine, asked, waitMs, () => answer('granted'));
        if (state !== 'granted') {
          answer(state);
        }
      })
      .with({ kind: 'turn' }, ({ id, state }) => prefillClient.handleReply(id, state))
      .with({ kind: 'turnOver' }, ({ engine, id }) => prefill.finish(now, engine, id))
      .with({ kind: 'loadRefused' }, ({ engine, key }) => loads.retryElsewhere(engine, key))
      .with({ kind: 'engineDoubted' }, ({ engine }) => engines.tryGet(engine)?.invalidateState())
      .otherwise(({ kind }) => host.log('messageDropped', { from, kind }));
  }

  function start(): void {
    mirror.start();
    members.start();
    runPeriodically(host, OWNERSHIP_PAUSE_MS, () => ownerships.reconcile(getEngineIds()));
    runPeriodically(host, USAGE_PAUSE_MS, usagePublisher.publish);
    runPeriodically(host, REPEAT_STATES_MS, () => engines.announceStates());
  }

  function getEngineIds(): string[] {
    return upstreams
      .getAll()
      .filter((upstream) => manifest?.services.get(upstream.service)?.engine !== undefined)
      .map(({ id }) => id);
  }

  /** Addresses at which callers reach VMs that serve, those of a data centre first. */
  function getCallerAddresses(dataCentre: string): string[] {
    const serving = new Set(members.getServing(host.now()));
    const others = members.getMembers().filter((member) => serving.has(member.address));
    const all = isReady() ? [...others, options] : others;
    const near = all.filter((vm) => vm.dataCentre === dataCentre);
    return (near.length > 1 ? near : all).map((vm) => vm.callerAddress);
  }

  function isReady(): boolean {
    return manifest !== undefined && !members.isLeaving();
  }

  /** Tells the others that this VM takes no new callers, and gives its engines up. */
  async function startLeaving(): Promise<void> {
    members.announceLeaving();
    engines.getIds().forEach(engines.close);
    await members.releaseLease();
  }

  return {
    start,
    startLeaving,
    refuseStreams: gateway.refuseStreams,
    receive,
    isReady,
    getCallerAddresses,
    handle: (call: CallerRequest, reply: ResponseWriter) => gateway.handle(host.now(), call, reply),
    refuse: gateway.refuse,
    getInFlight: gateway.getInFlight,
    getLimits: () => manifest?.limits,
    metrics,
  };
}
