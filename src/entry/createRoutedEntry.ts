import { match } from 'ts-pattern';
import createEngineViews from '../engines/createEngineViews';
import createOwnedEngines from '../engines/createOwnedEngines';
import createLoads from '../engines/createLoads';
import createOwnerships from '../engines/createOwnerships';
import getMaxLoading from '../engines/getMaxLoading';
import getAdapterKey from '../engines/getAdapterKey';
import type Call from '../gateway/Call';
import createAttempts from '../gateway/createAttempts';
import createGateway from '../gateway/createGateway';
import createRepeatBudget from '../gateway/createRepeatBudget';
import type Reply from '../gateway/Reply';
import type Change from '../keyValue/Change';
import type Manifest from '../manifest/Manifest';
import createMembers from '../members/createMembers';
import type Message from '../mesh/Message';
import createMetrics from '../metrics/createMetrics';
import createMirror from '../mirror/createMirror';
import readRange from '../mirror/readRange';
import createRepeater from '../shared/createRepeater';
import rankByRendezvous from '../shared/rankByRendezvous';
import createUpstreamHealth from '../upstream/createUpstreamHealth';
import createUpstreams from '../upstream/createUpstreams';
import createTurnKeeper from '../prefill/createTurnKeeper';
import createTurnTaker from '../prefill/createTurnTaker';
import type TurnState from '../prefill/TurnState';
import createSpread from '../broadcast/createSpread';
import createUsage from '../usage/createUsage';
import getSource from '../usage/getSource';
import createUsageTeller from '../usage/createUsageTeller';
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
  const views = createEngineViews();
  const turns = createTurnKeeper(host.setTimer);
  const versions = new Map<string, number>();
  let manifest: Manifest | undefined;

  const mirror = createMirror({
    ...host,
    feed: host.keyValue,
    isReader: (now) =>
      now - startedAt >= READER_SETTLE_MS &&
      rankByRendezvous('readers', members.getServing(now)).slice(0, READERS).includes(address),
    spread: (news) => spread.spread({ kind: 'news', ...news }),
    askPeers: () => spread.ask({ kind: 'newsWanted' }),
    onChange: applyChange,
  });
  const members = createMembers(
    {
      ...host,
      // The registry is read from the copy of the store: no call is made for it.
      keyValue: { ...host.keyValue, range: async ({ key }) => readRange(mirror, key) },
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
      seeds: options.seeds,
      leaseSeconds: options.leaseSeconds,
    },
  );
  const spread = createSpread({ ...host, members }, options);
  const upstreams = createUpstreams({
    ...host,
    getStoreFailedAt: mirror.getFailedAt,
    onChange: (upstream) => {
      views.describe(upstream);
      engines.noticeRestart(upstream);
      loads.notice();
    },
    onGone: (id) => {
      views.remove(id);
      health.forget(id);
      usage.forget(id);
      turns.remove(id);
      engines.close(id);
    },
  });
  const ownerships = createOwnerships(
    {
      ...host,
      mirror,
      members,
      onTaken: (engine, fence) => {
        spread.spread({ kind: 'engineClaimed', engine, fence });
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
      getMaxLoading: (engine) =>
        getMaxLoading(getEngineIds().length, views.getLoadingElsewhere(engine)),
      announce: (state, askers) => {
        receive(address, { kind: 'engineState', ...state });
        teller.tellState(state, askers);
      },
      refuse: (asker, engine, key) => sendOrDeliver(asker, { kind: 'loadRefused', engine, key }),
      countOrder: (kind, outcome) => metrics.loads.inc({ outcome: `${kind} ${outcome}` }),
    },
    { upstreams, usage },
    options,
  );
  const teller = createUsageTeller(
    {
      ...host,
      tryGetOwner,
      spread,
      getEngines: (now) => {
        const backlogs = turns.getBacklogs(engines.getIds());
        return backlogs.map(([engine, backlogMs]) => ({
          engine,
          backlogMs,
          busy: usage.getBusy(now, engine),
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
      getBacklogMs: turns.getBacklogMs,
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
  const repeats = createRepeatBudget((now) => members.getServing(now).length, options.getRepeat);
  const gateway = createGateway({
    ...host,
    getManifest: () => manifest,
    place: placement.place,
    attempt: createAttempts(
      {
        ...host,
        getService: (name) => manifest?.services.get(name),
        getVmCount: (now) => members.getServing(now).length,
        endTurn: (engine, id) => {
          const owner = tryGetOwner(engine);
          if (owner !== undefined) {
            sendOrDeliver(owner, { kind: 'turnOver', engine, id });
          }
        },
        doubt: (engine, key) => {
          views.withdraw(engine, key);
          const owner = tryGetOwner(engine);
          if (owner !== undefined) {
            sendOrDeliver(owner, { kind: 'engineDoubted', engine });
          }
        },
      },
      { upstreams, usage, health, turnTaker },
    ),
    noteRequest: repeats.noteRequest,
    tryRepeat: repeats.tryTake,
    metrics,
  });

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
      .with({ kind: 'news' }, (news) => mirror.receive(news))
      .with({ kind: 'newsWanted' }, () => {
        const whole = mirror.getWhole();
        if (whole) {
          host.send(from, { kind: 'news', ...whole });
        }
      })
      .with({ kind: 'forward' }, (forwarded) => {
        const inner = spread.receiveForward(forwarded.message);
        if (inner) {
          receive(from, inner);
        }
      })
      .with({ kind: 'share' }, ({ upstream, share }) =>
        usage.receiveShare(now, from, upstream, share),
      )
      .with({ kind: 'usage' }, (tidings) => {
        const { dataCentre, loads: told } = tidings;
        usage.receiveLoads(now, getSource(from, dataCentre, options.dataCentre), told);
        tidings.engines.forEach(({ engine, backlogMs, busy }) => {
          turns.receive([[engine, backlogMs]]);
          usage.receiveBusy(now, engine, busy);
        });
        teller.collect(tidings);
        if (tidings.states.filter(views.announce).length > 0) {
          loads.notice();
        }
      })
      .with({ kind: 'engineState' }, (state) => {
        if (views.announce(state)) {
          loads.notice();
        }
      })
      .with({ kind: 'engineClaimed' }, ({ engine, fence }) => ownerships.noteClaim(engine, fence))
      .with({ kind: 'loadWanted' }, (wanted) => {
        const engine = engines.tryGet(wanted.engine);
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
        const answer = (state: TurnState) =>
          sendOrDeliver(from, { kind: 'turn', id: asked.id, state });
        const state = turns.ask(now, engine, asked, waitMs, () => answer('granted'));
        if (state !== 'granted') {
          answer(state);
        }
      })
      .with({ kind: 'turn' }, ({ id, state }) => turnTaker.receive(id, state))
      .with({ kind: 'turnOver' }, ({ engine, id }) => turns.finish(now, engine, id))
      .with({ kind: 'loadRefused' }, ({ engine, key }) => loads.refuse(engine, key))
      .with({ kind: 'engineDoubted' }, ({ engine }) => engines.tryGet(engine)?.doubt())
      .otherwise(({ kind }) => host.log('messageDropped', { from, kind }));
  }

  function start(): void {
    mirror.start();
    members.start();
    createRepeater(host, OWNERSHIP_PAUSE_MS, () => ownerships.tick(getEngineIds()));
    createRepeater(host, USAGE_PAUSE_MS, teller.tell);
    createRepeater(host, REPEAT_STATES_MS, () => engines.repeatStates());
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
  async function leave(): Promise<void> {
    members.leave();
    engines.getIds().forEach(engines.close);
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
