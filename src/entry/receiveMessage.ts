import { match } from 'ts-pattern';
import getAdapterKey from '../engines/getAdapterKey';
import type Log from '../events/Log';
import getGeneration from '../keyValue/getGeneration';
import type Message from '../mesh/Message';
import type PrefillState from '../prefill/PrefillState';
import getUsageSource from '../usage/getUsageSource';
import type Members from '../members/Members';
import type Mirror from '../mirror/Mirror';
import type UpstreamLoads from '../load/UpstreamLoads';
import type Usage from '../usage/Usage';
import type EngineStates from '../engines/EngineStates';
import type PendingLoads from '../engines/PendingLoads';
import type Readiness from '../readiness/Readiness';
import type createAllowances from '../allowances/createAllowances';
import type RateLimiting from '../rateLimits/RateLimiting';
import type Places from '../places/Places';
import type Slots from '../slots/Slots';
import type createBroadcaster from '../broadcast/createBroadcaster';
import type createPrefillScheduler from '../prefill/createPrefillScheduler';
import type createUsagePublisher from '../usage/createUsagePublisher';
import type createOwnerships from '../engines/createOwnerships';
import type createOwnedEngines from '../engines/createOwnedEngines';
import type createPrefillClient from '../prefill/createPrefillClient';
import type createCrashGuard from '../quarantine/createCrashGuard';
import type createStreamOrigins from '../streams/createStreamOrigins';
import type createBrittleServices from '../places/createBrittleServices';
import type createReach from '../reach/createReach';
import type createWitnesses from '../reach/createWitnesses';

interface ReceiverHost {
  now(): number;
  address: string;
  dataCentre: string;
  send(to: string, message: Message): boolean;
  /** Sends a message to a VM, which may be this one. */
  sendOrDeliver(to: string, message: Message): boolean;
  /** Returns the version of an adapter or a model that is in force, or 0 if none was announced. */
  getVersion(key: string): number;
  log: Log;
}

interface Parts {
  members: Members;
  mirror: Mirror;
  broadcaster: ReturnType<typeof createBroadcaster>;
  usage: Usage;
  loads: Pick<UpstreamLoads, 'receiveReports'>;
  prefill: ReturnType<typeof createPrefillScheduler>;
  usagePublisher: ReturnType<typeof createUsagePublisher>;
  engineStates: EngineStates;
  pendingLoads: PendingLoads;
  ownerships: ReturnType<typeof createOwnerships>;
  engines: ReturnType<typeof createOwnedEngines>;
  readiness: Readiness;
  prefillClient: ReturnType<typeof createPrefillClient>;
  rateLimiting: RateLimiting;
  allowances: ReturnType<typeof createAllowances>;
  crashGuard: ReturnType<typeof createCrashGuard>;
  streamOrigins: ReturnType<typeof createStreamOrigins>;
  brittleServices: ReturnType<typeof createBrittleServices>;
  places: Places;
  slots: Pick<Slots, 'handleRequest' | 'handleReply' | 'handleEnd'>;
  reach: ReturnType<typeof createReach>;
  witnesses: ReturnType<typeof createWitnesses>;
}

/** Hands a message of another entry VM, or one that this VM sends to itself, to the part it is for. */
export default function receiveMessage(
  host: ReceiverHost,
  parts: Parts,
  from: string,
  message: Message,
): void {
  const now = host.now();
  match(message)
    .with({ kind: 'heartbeat' }, (heartbeat) => parts.members.receive(from, heartbeat))
    .with({ kind: 'news' }, (batch) => parts.mirror.applyBatch(batch))
    .with({ kind: 'newsWanted' }, ({ afterRevision }) => {
      const batch =
        afterRevision === undefined || getGeneration(afterRevision) < parts.mirror.getGeneration()
          ? parts.mirror.getSnapshot()
          : parts.mirror.tryGetChanges(afterRevision);
      if (batch) {
        host.send(from, { kind: 'news', ...batch });
      }
    })
    .with({ kind: 'forward' }, (forwarded) => {
      const inner = parts.broadcaster.receiveForward(forwarded.message);
      if (inner) {
        receiveMessage(host, parts, from, inner);
      }
    })
    .with({ kind: 'share' }, ({ upstream, share: adapterUsage }) => {
      parts.usage.receiveAdapterUsage(now, from, upstream, adapterUsage);
      parts.engines.tryGet(upstream)?.handleUseChange();
    })
    .with({ kind: 'usage' }, (usageMessage) => {
      const { dataCentre, loads: inFlightCounts } = usageMessage;
      parts.usage.receiveInFlightCounts(
        now,
        getUsageSource(from, dataCentre, host.dataCentre),
        inFlightCounts,
      );
      usageMessage.engines.forEach(({ engine, backlogMs, busy }) => {
        parts.prefill.updateBacklogs([[engine, backlogMs]]);
        parts.usage.receiveBusyAdapters(now, engine, busy);
      });
      parts.loads.receiveReports(now, usageMessage.upstreams ?? []);
      parts.usagePublisher.collect(usageMessage);
      if (usageMessage.states.filter(parts.engineStates.applyState).length > 0) {
        parts.pendingLoads.resolveServable();
      }
    })
    .with({ kind: 'engineState' }, (state) => {
      if (parts.engineStates.applyState(state)) {
        parts.pendingLoads.resolveServable();
      }
    })
    .with({ kind: 'engineClaimed' }, ({ engine, fence, owner }) => {
      parts.ownerships.handleClaim(engine, fence);
      if (owner !== undefined) {
        parts.usagePublisher.publishUse(engine, owner);
      }
    })
    .with({ kind: 'loadWanted' }, (request) => {
      const engine = parts.engines.tryGet(request.engine);
      const { model, adapter, version, urgency, waitMs } = request;
      if (!engine || parts.readiness.has(now, engine.upstream, 'leaving')) {
        const key = getAdapterKey(model, adapter);
        host.sendOrDeliver(from, { kind: 'loadRefused', engine: request.engine, key });
        return;
      }
      const requiredVersion = Math.max(version, host.getVersion(getAdapterKey(model, adapter)));
      engine.requestLoad(
        { model, adapter, version: requiredVersion, urgency, expiresAt: now + waitMs },
        from,
      );
    })
    .with({ kind: 'turnWanted' }, ({ engine, waitMs, key, kind: _, ...prefillRequest }) => {
      if (key !== undefined && from !== host.address) {
        parts.usage.expectUse(now, from, engine, key);
      }
      const reply = (state: PrefillState) =>
        host.sendOrDeliver(from, { kind: 'turn', id: prefillRequest.id, state });
      const state = parts.prefill.request(now, engine, prefillRequest, waitMs, () =>
        reply('granted'),
      );
      if (state !== 'granted') {
        reply(state);
      }
    })
    .with({ kind: 'turn' }, ({ id, state }) => parts.prefillClient.handleReply(id, state))
    .with({ kind: 'turnOver' }, ({ engine, id }) => parts.prefill.finish(now, engine, id))
    .with({ kind: 'loadRefused' }, ({ engine, key }) =>
      parts.pendingLoads.retryElsewhere(engine, key),
    )
    .with({ kind: 'upstreamLimits' }, ({ statements }) =>
      parts.rateLimiting.receive(now, statements),
    )
    .with({ kind: 'upstreamsLeaving' }, (announced) =>
      parts.readiness.receiveDepartures(now, from, announced.upstreams),
    )
    .with({ kind: 'upstreamRested' }, (rested) => parts.readiness.receiveRest(now, rested))
    .with({ kind: 'serviceBrittle' }, ({ service }) => parts.brittleServices.receive(now, service))
    .with({ kind: 'placeWanted' }, (wanted) => parts.places.handleRequest(from, wanted))
    .with({ kind: 'place' }, (reply) => parts.places.handleReply(from, reply))
    .with({ kind: 'placeEnded' }, (ended) => parts.places.handleEnd(from, ended))
    .with({ kind: 'slotWanted' }, (wanted) => parts.slots.handleRequest(from, wanted))
    .with({ kind: 'slot' }, (reply) => parts.slots.handleReply(from, reply))
    .with({ kind: 'slotEnded' }, (ended) => parts.slots.handleEnd(from, ended))
    .with({ kind: 'reach' }, (stated) => parts.reach.receive(now, from, stated))
    .with({ kind: 'probeWanted' }, (wanted) => parts.witnesses.handleRequest(from, wanted))
    .with({ kind: 'probed' }, ({ id, outcome }) => parts.witnesses.handleReply(id, outcome))
    .with({ kind: 'permitWanted' }, (wanted) => parts.rateLimiting.handleRequest(from, wanted))
    .with({ kind: 'permit' }, ({ id, ...reply }) => parts.rateLimiting.handleReply(id, reply))
    .with({ kind: 'allowancePoll' }, (poll) => parts.allowances.handlePoll(now, from, poll))
    .with({ kind: 'allowanceVote' }, (vote) => parts.allowances.handleVote(now, from, vote))
    .with({ kind: 'allowanceWanted' }, (wanted) =>
      parts.allowances.handleRequest(now, from, wanted),
    )
    .with({ kind: 'allowanceLease' }, (lease) => parts.allowances.handleReply(now, from, lease))
    .with({ kind: 'upstreamCrash' }, (report) => parts.crashGuard.receiveCrash(now, report))
    .with({ kind: 'streamOrigins' }, ({ origins, isPublished }) =>
      parts.streamOrigins.receive(now, origins, isPublished),
    )
    .with({ kind: 'requestServed' }, ({ trait }) => parts.crashGuard.receiveServed(now, trait))
    .with({ kind: 'blocks' }, ({ blocks }) => parts.crashGuard.receiveBlocks(now, blocks))
    .with({ kind: 'engineDoubted' }, ({ engine }) =>
      parts.engines.tryGet(engine)?.invalidateState(),
    )
    .otherwise(({ kind }) => host.log('messageDropped', { from, kind }));
}
