import { match } from 'ts-pattern';
import createEngine from '../engines/createEngine';
import createEngineViews from '../engines/createEngineViews';
import createLoads from '../engines/createLoads';
import createOwnerships from '../engines/createOwnerships';
import type EngineState from '../engines/EngineState';
import getAdapterKey from '../engines/getAdapterKey';
import type Call from '../gateway/Call';
import createGateway from '../gateway/createGateway';
import createRepeatBudget from '../gateway/createRepeatBudget';
import type Job from '../gateway/Job';
import type Place from '../gateway/Place';
import type Reply from '../gateway/Reply';
import sendAttempt from '../gateway/sendAttempt';
import type Change from '../keyValue/Change';
import type Manifest from '../manifest/Manifest';
import createMembers from '../members/createMembers';
import type Message from '../mesh/Message';
import createMetrics from '../metrics/createMetrics';
import createMirror from '../mirror/createMirror';
import createRepeater from '../shared/createRepeater';
import rankByRendezvous from '../shared/rankByRendezvous';
import createUpstreamHealth from '../upstream/createUpstreamHealth';
import createUpstreams from '../upstream/createUpstreams';
import type Upstream from '../upstream/Upstream';
import createTurns from '../turns/createTurns';
import createTurnTaker from '../turns/createTurnTaker';
import getReadMs from '../turns/getReadMs';
import createUsage from '../usage/createUsage';
import createPlacement from './createPlacement';
import type RoutedEntryHost from './RoutedEntryHost';

/** VMs that read the key-value service for all: one may be lost without a pause. */
const READERS = 2;
const USAGE_PAUSE_MS = 250;
/** Owners repeat their engines' states for VMs that missed one. */
const REPEAT_STATES_MS = 2000;
const OWNERSHIP_PAUSE_MS = 250;
/** A request that may be repeated is sent elsewhere after this many objectives of silence. */
const SILENCE_FACTOR = 2;
const MIN_SILENCE_MS = 1000;
/** A caller that leaves after this long without a byte has found a silent upstream. */
const SILENT_MS = 1500;
/** Time to the first event beside the reading of the prompt. */
const ON_TIME_MARGIN_MS = 80;
/** Callers leave a stream that is silent for 2 s; a request does not wait for its turn as long. */
const MAX_TURN_MS = 1500;
/** For routes that state no objective on pauses. */
const DEFAULT_PAUSE_MS = 300;
const URGENCY_STEP = 2;
const MAX_URGENCY = 9;
/** Characters shown of an entry that can't be read. */
const MAX_SHOWN = 200;

interface Options {
  /** `ip:port` of the links between entry VMs; the VM's identity. */
  address: string;
  callerAddress: string;
  dataCentre: string;
  leaseSeconds: number;
  /** Time within which orders of two owners must not mix. */
  orderGapMs: number;
  repeat: { ratio: number; windowMs: number; reserve: number };
}

/** Composes one entry VM that routes by a manifest. All I/O goes through the host. */
export default function createRoutedEntry(host: RoutedEntryHost, options: Options) {
  const { address } = options;
  const incarnation = host.getNonce();
  const metrics = createMetrics();
  const usage = createUsage();
  const health = createUpstreamHealth();
  const views = createEngineViews();
  const versions = new Map<string, number>();
  const engines = new Map<string, ReturnType<typeof createEngine>>();
  const lastStates = new Map<string, EngineState>();
  let manifest: Manifest | undefined;
  let stateSequence = 0;

  const mirror = createMirror({
    ...host,
    feed: host.keyValue,
    isReader: (now) =>
      rankByRendezvous('readers', members.getServing(now)).slice(0, READERS).includes(address),
    spread: (news) => broadcast({ kind: 'news', ...news }),
    askPeers: () => broadcast({ kind: 'newsWanted' }),
    onChange: applyChange,
  });
  const members = createMembers(
    {
      ...host,
      keyValue: { ...host.keyValue, range: readRegistry } as never,
      tryGetList: async () => undefined,
      describe: (now) => ({
        tableRevision: manifest?.version ?? 0,
        newestRow: mirror.getRevision(),
        confirmedAgeMs: now - mirror.getConfirmedAt(),
        inFlight: gateway.getInFlight(),
      }),
      onHeard: (now) => metrics.membersHeard.set(members.getServing(now).length),
    },
    {
      address,
      dataCentre: options.dataCentre,
      callerAddress: options.callerAddress,
      incarnation,
      seeds: [],
      leaseSeconds: options.leaseSeconds,
    },
  );
  const upstreams = createUpstreams({
    ...host,
    getStoreFailedAt: mirror.getFailedAt,
    onChange: (upstream) => {
      views.describe(upstream);
      const engine = engines.get(upstream.id);
      if (engine && engine.upstream.startedAt !== upstream.startedAt) {
        closeEngine(upstream.id);
        openEngine(upstream.id);
      }
      loads.notice();
    },
    onGone: (id) => {
      views.remove(id);
      health.forget(id);
      turns.delete(id);
      backlogs.delete(id);
      closeEngine(id);
    },
  });
  const ownerships = createOwnerships(
    {
      ...host,
      mirror,
      members,
      onTaken: openEngine,
      onLost: closeEngine,
    },
    { address, incarnation, leaseMs: options.orderGapMs },
  );
  const placement = createPlacement(
    {
      ...host,
      getManifest: () => manifest,
      getVersion,
      getBacklogMs: (engine) => backlogs.get(engine) ?? 0,
    },
    { upstreams, usage, health, views, getLoads: () => loads },
    options,
  );
  const loads = createLoads({
    ...host,
    getHomes: placement.getHomes,
    ask: (engine, ask, waitMs) => {
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
  const backlogs = new Map<string, number>();
  const turns = new Map<string, ReturnType<typeof createTurns>>();
  const turnTaker = createTurnTaker({
    ...host,
    ask: (engine, asked, waitMs) => {
      const owner = tryGetOwner(engine);
      return (
        owner !== undefined &&
        sendOrDeliver(owner, { kind: 'turnWanted', engine, ...asked, waitMs })
      );
    },
  });
  const repeats = createRepeatBudget((now) => members.getServing(now).length, options.repeat);
  const gateway = createGateway({
    ...host,
    getManifest: () => manifest,
    place: placement.place,
    attempt,
    noteRequest: repeats.noteRequest,
    tryRepeat: repeats.tryTake,
    metrics,
  });

  async function attempt(job: Job, place: Place, isLast: boolean) {
    const { upstream } = place;
    const startedAt = host.now();
    const service = manifest!.services.get(job.service);
    const share = Math.max(1, members.getServing(startedAt).length);
    const maxConnections = Math.max(2, Math.floor((service?.maxConnections ?? 64) / share));
    const isEngine = service?.engine !== undefined;
    const key = getAdapterKey(job.call.model ?? '', job.call.adapter);
    const finish = usage.begin(startedAt, upstream.id, isEngine ? key : '');
    const isRepeatable = job.route.kind === 'idempotent' || job.route.isResumable;
    const silenceMs =
      isRepeatable && !isLast
        ? Math.max(MIN_SILENCE_MS, SILENCE_FACTOR * job.route.latencyObjectiveMs)
        : Infinity;
    if (isEngine) {
      await takeTurn(job, upstream.id);
      if (job.isCallerGone) {
        finish(host.now());
        return { kind: 'callerLeft' } as const;
      }
    }
    const outcome = await sendAttempt(
      {
        ...host,
        send: (deadlineMs, exchange) =>
          host.connections.send(
            upstream.address,
            host.encode(job.call, {
              deadlineMs,
              upstream: upstream.id,
              version: place.version,
              urgency: isEngine
                ? Math.min(MAX_URGENCY, 1 + job.route.urgency * URGENCY_STEP)
                : undefined,
              resumeAfter:
                job.lastEventId === undefined ? job.call.resumeAfter : String(job.lastEventId),
            }),
            maxConnections,
            exchange,
          ),
        onFirstByte: (now, head) => {
          if (isEngine) {
            endTurn(upstream.id, job.call.id);
          }
          if (head.status < 500 && !head.isNotRun) {
            health.noteSuccess(now, upstream.id, now - startedAt);
          }
        },
      },
      job,
      silenceMs,
    );
    const now = host.now();
    finish(now);
    if (isEngine && job.firstByteAt === undefined) {
      endTurn(upstream.id, job.call.id);
    }
    const isSilent =
      (outcome.kind === 'callerLeft' || outcome.kind === 'deadline') &&
      job.firstByteAt === undefined &&
      now - startedAt > SILENT_MS;
    const isFailure =
      isSilent ||
      outcome.kind === 'failed' ||
      outcome.kind === 'lost' ||
      outcome.kind === 'broken' ||
      outcome.kind === 'silent' ||
      (outcome.kind === 'notSent' && outcome.reason !== 'noConnection');
    if (isFailure && health.noteFailure(now, upstream.id)) {
      host.log('upstreamSuspended', { upstream: upstream.id, cause: outcome.kind });
    }
    if (outcome.kind === 'notRun' && outcome.reason === 'otherUpstream' && isEngine) {
      const owner = tryGetOwner(upstream.id);
      views.withdraw(upstream.id, key);
      if (owner !== undefined) {
        sendOrDeliver(owner, { kind: 'engineDoubted', engine: upstream.id });
      }
    }
    return outcome;
  }

  /** Waits until the engine has room to read the prompt, while that is in time. */
  async function takeTurn(job: Job, engine: string): Promise<void> {
    const now = host.now();
    const { latencyObjectiveMs, urgency, pauseObjectiveMs: pauseMs = DEFAULT_PAUSE_MS } = job.route;
    const { id, promptTokens: tokens } = job.call;
    const spentMs = now - job.arrivedAt;
    const onTimeMs = latencyObjectiveMs - getReadMs(tokens) - ON_TIME_MARGIN_MS - spentMs;
    const waitMs = Math.min(MAX_TURN_MS, job.deadlineAt - now) - spentMs;
    if (waitMs <= 0) {
      return;
    }
    Object.assign(job, { leave: () => turnTaker.leave(job.call.id) });
    const asked = { id, tokens, urgency, onTimeMs: Math.round(onTimeMs), pauseMs };
    await turnTaker.take(engine, asked, Math.round(waitMs));
    Object.assign(job, { turnMs: job.turnMs + host.now() - now });
  }

  function endTurn(engine: string, id: string): void {
    const owner = tryGetOwner(engine);
    if (owner !== undefined) {
      sendOrDeliver(owner, { kind: 'turnOver', engine, id });
    }
  }

  function getBacklogs(): [string, number][] {
    const own = [...turns]
      .filter(([engine]) => engines.has(engine))
      .map(([engine, known]): [string, number] => [engine, known.getBacklogMs()]);
    own.forEach(([engine, waitMs]) => backlogs.set(engine, waitMs));
    return own;
  }

  function getTurns(engine: string): ReturnType<typeof createTurns> {
    const known = turns.get(engine) ?? createTurns(host.setTimer);
    turns.set(engine, known);
    return known;
  }

  function getVersion(key: string): number {
    return versions.get(key) ?? 0;
  }

  function applyChange(_: number, change: Change): void {
    match(host.read(change))
      .with({ kind: 'manifest' }, (reading) => applyManifest(reading.manifest))
      .with({ kind: 'upstream' }, ({ id, upstream }) => {
        if (!upstream && change.value !== undefined) {
          const text = change.value.slice(0, MAX_SHOWN);
          host.log('upstreamUnreadable', { upstream: id, revision: change.revision, text });
        }
        upstreams.take(id, upstream);
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

  /** The registry of members, from the copy of the store: no call is made for it. */
  async function readRegistry({ key }: { key: string }) {
    return {
      ok: true as const,
      value: {
        revision: mirror.getRevision(),
        more: false,
        entries: mirror.getAll(key).map((entry) => ({
          key: entry.key,
          value: entry.value!,
          createRevision: entry.revision,
          modRevision: entry.revision,
        })),
      },
    };
  }

  function openEngine(id: string): void {
    const upstream = upstreams.tryGet(id);
    if (!upstream || engines.has(id)) {
      return;
    }
    const { engines: control } = host;
    const getService = () => manifest?.services.get(upstream.service)?.engine;
    const engine = createEngine(
      {
        ...host,
        order: (order, by) => control.order(upstream, order, { ...by, holder: address }),
        report: () => control.report(upstream),
        tryGetFence: (now) => ownerships.tryGetFence(now, id),
        getUse: (now, key) => usage.getUse(now, id, key),
        getVersion,
        getModels: () => getService()?.models ?? [],
        getPlaces: () => getService()?.adapterSlots ?? 0,
        announce: (state) => announceEngine(state),
        refuse: (want, reason) => {
          host.log('loadRefused', { engine: id, adapter: want.key, reason });
          want.askers.forEach((asker) =>
            sendOrDeliver(asker, { kind: 'loadRefused', engine: id, key: want.key }),
          );
        },
        countOrder: (kind, outcome) => metrics.loads.inc({ outcome: `${kind} ${outcome}` }),
      },
      upstream,
    );
    engines.set(id, engine);
    engine.work();
  }

  function closeEngine(id: string): void {
    engines.get(id)?.stop();
    engines.delete(id);
    lastStates.delete(id);
  }

  function announceEngine(state: Omit<EngineState, 'fence' | 'sequence' | 'canLoad'>): void {
    const fence = ownerships.tryGetFence(host.now(), state.engine);
    stateSequence += 1;
    const whole = {
      ...state,
      fence: fence ?? lastStates.get(state.engine)?.fence ?? 0,
      sequence: stateSequence,
      canLoad: fence !== undefined,
    };
    lastStates.set(state.engine, whole);
    receive(address, { kind: 'engineState', ...whole });
    broadcast({ kind: 'engineState', ...whole });
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

  function broadcast(message: Message): void {
    members.getMembers().forEach((member) => host.send(member.address, message));
  }

  /** Takes a message of another entry VM, or one that this VM sends to itself. */
  function receive(from: string, message: Message): void {
    const now = host.now();
    match(message)
      .with({ kind: 'heartbeat' }, (heartbeat) => members.receive(from, heartbeat))
      .with({ kind: 'news' }, (news) => mirror.receive(news as never))
      .with({ kind: 'newsWanted' }, () => {
        const whole = mirror.getWhole();
        if (whole) {
          host.send(from, { kind: 'news', ...whole });
        }
      })
      .with({ kind: 'usage' }, ({ share, backlogs: told }) => {
        usage.receive(now, from, share);
        told.forEach(([engine, waitMs]) => backlogs.set(engine, waitMs));
      })
      .with({ kind: 'engineState' }, (state) => {
        if (views.announce(state)) {
          loads.notice();
        }
      })
      .with({ kind: 'loadWanted' }, (wanted) => {
        const engine = engines.get(wanted.engine);
        const { model, adapter, version, urgency, waitMs } = wanted;
        if (!engine) {
          const key = getAdapterKey(model, adapter);
          sendOrDeliver(from, { kind: 'loadRefused', engine: wanted.engine, key });
          return;
        }
        const needed = Math.max(version, getVersion(getAdapterKey(model, adapter)));
        engine.want({ model, adapter, version: needed, urgency, expiresAt: now + waitMs }, from);
      })
      .with({ kind: 'turnWanted' }, ({ engine, waitMs, kind: _, ...asked }) => {
        let isGranted = false;
        getTurns(engine).ask(now, asked, waitMs, () => {
          isGranted = true;
          sendOrDeliver(from, { kind: 'turn', id: asked.id, isGranted });
        });
        if (!isGranted) {
          sendOrDeliver(from, { kind: 'turn', id: asked.id, isGranted });
        }
      })
      .with({ kind: 'turn' }, ({ id, isGranted }) => turnTaker.receive(id, isGranted))
      .with({ kind: 'turnOver' }, ({ engine, id }) => turns.get(engine)?.finish(now, id))
      .with({ kind: 'loadRefused' }, ({ engine, key }) => loads.refuse(engine, key))
      .with({ kind: 'engineDoubted' }, ({ engine }) => engines.get(engine)?.doubt())
      .otherwise(({ kind }) => host.log('messageDropped', { from, kind }));
  }

  function start(): void {
    mirror.start();
    members.start();
    createRepeater(host, OWNERSHIP_PAUSE_MS, () => ownerships.tick(getEngineIds()));
    createRepeater(host, USAGE_PAUSE_MS, () =>
      broadcast({ kind: 'usage', share: usage.getShare(host.now()), backlogs: getBacklogs() }),
    );
    createRepeater(host, REPEAT_STATES_MS, () => engines.forEach((engine) => engine.announce()));
  }

  function getEngineIds(): string[] {
    return upstreams
      .getAll()
      .filter((upstream) => manifest?.services.get(upstream.service)?.engine !== undefined)
      .map(({ id }) => id);
  }

  /** Addresses at which callers reach VMs that serve, those of a data centre first. */
  function getCallerAddresses(dataCentre: string): string[] {
    const now = host.now();
    const serving = new Set(members.getServing(now));
    const others = members.getMembers().filter((member) => serving.has(member.address));
    const all: Pick<Upstream, 'dataCentre' | 'address'>[] = others.map((member) => ({
      dataCentre: member.dataCentre,
      address: member.callerAddress,
    }));
    if (isReady()) {
      all.push({ dataCentre: options.dataCentre, address: options.callerAddress });
    }
    const near = all.filter((vm) => vm.dataCentre === dataCentre);
    return (near.length > 1 ? near : all).map((vm) => vm.address);
  }

  function isReady(): boolean {
    return manifest !== undefined && !members.isLeaving();
  }

  /** Tells the others that this VM takes no new callers, and gives its engines up. */
  async function leave(): Promise<void> {
    members.leave();
    [...engines.keys()].forEach(closeEngine);
    await members.release();
  }

  return {
    start,
    leave,
    refuseLong: gateway.refuseLong,
    receive,
    isReady,
    getCallerAddresses,
    handle: (call: Call, reply: Reply) => gateway.handle(host.now(), call, reply),
    refuse: gateway.refuse,
    getInFlight: gateway.getInFlight,
    getLimits: () => manifest?.limits,
    metrics,
  };
}
