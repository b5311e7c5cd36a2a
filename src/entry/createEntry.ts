import { match, P } from 'ts-pattern';
import createCalls from '../calls/createCalls';
import createCompletions from '../completions/createCompletions';
import createPlacementClient from '../completions/createPlacementClient';
import createApp from '../http/createApp';
import createMembers from '../members/createMembers';
import Message from '../mesh/Message';
import createMetrics from '../metrics/createMetrics';
import createOwners from '../owners/createOwners';
import createResidency from '../owners/createResidency';
import rankByRendezvous from '../shared/rankByRendezvous';
import createTable from '../table/createTable';
import createTableController from '../table/createTableController';
import type EntryContext from '../requests/EntryContext';
import type EntryHost from './EntryHost';
import type EntryOptions from './EntryOptions';

const DRAIN_CHECK_INTERVAL_MS = 100;

/** Composes the controllers and the filter chain of one entry VM. All I/O goes through the host. */
export default function createEntry(host: EntryHost, options: EntryOptions) {
  const { address } = options;
  const metrics = createMetrics();
  const table = createTable();
  const residency = createResidency();
  let inFlight = 0;

  const members = createMembers(
    {
      ...host,
      getHeartbeatFields: (now) => ({ ...tableController.getHeartbeatFields(now), inFlight }),
      onHeartbeat: (now, member) => {
        tableController.handleHeartbeat(now, member);
        metrics.membersHeard.set(members.getServing(now).length);
      },
    },
    {
      address,
      dataCentre: options.dataCentre,
      callerAddress: options.callerAddress,
      incarnation: host.createNonce(),
      seeds: options.seeds,
      leaseSeconds: options.leaseSeconds,
    },
  );
  const tableController = createTableController(
    {
      ...host,
      getLivePeers: (now) => members.getServing(now).filter((peer) => peer !== address),
      hasMajority: members.hasMajority,
      onApplied: (row) => {
        metrics.tableRevision.set(table.getRevision());
        host.log('rowApplied', { kind: row.kind, row: row.name, revision: row.revision });
      },
    },
    table,
  );

  /** Sends a message directly, or through a relay VM while the link to the receiver is down. */
  function send(to: string, message: Message): boolean {
    const now = host.now();
    const relay = members.hasRecentHeartbeat(now, to) ? undefined : members.tryGetRelay(now, to);
    return relay === undefined
      ? host.send(to, message)
      : host.send(relay, { kind: 'relay', from: address, to, message });
  }

  const owners = createOwners(
    { ...host, send, deliver: (message) => receive(address, message) },
    { members, table, residency, metrics },
    { address, pool: options.pool },
  );
  const placementClient = createPlacementClient(
    { ...host, send },
    { members, owners, residency, table },
    { address },
  );
  const completions = createCompletions(host, { placementClient, metrics }, options);
  const calls = createCalls(
    { ...host, send, isSweeper },
    { address, retentionSeconds: options.callKeptSeconds },
  );

  /**
   * Returns whether this VM removes the expired records of calls, which is the task of one VM: the
   * first of the serving ones by rendezvous hashing.
   */
  function isSweeper(): boolean {
    return rankByRendezvous('calls', members.getServing(host.now()))[0] === address;
  }

  /** Counts a request as in flight. Returns a function that ends it; further calls do nothing. */
  function beginRequest(): () => void {
    inFlight += 1;
    metrics.inFlight.set(inFlight);
    let isOpen = true;
    return () => {
      if (isOpen) {
        isOpen = false;
        inFlight -= 1;
        metrics.inFlight.set(inFlight);
      }
    };
  }

  const app = createApp(
    { ...host, beginRequest, getInFlight: () => inFlight },
    { table, tableController, members, owners, residency, completions, calls, metrics },
    options,
  );

  /** Handles a message of another entry VM, or one that this VM sends to itself. */
  function receive(from: string, message: Message): void {
    match(message)
      .with({ kind: 'heartbeat' }, (heartbeat) => members.receive(from, heartbeat))
      .with({ kind: 'rows' }, { kind: 'rowsWanted' }, (rows) =>
        tableController.handleRowsMessage(from, rows),
      )
      .with({ kind: 'ask' }, ({ pool, ask: poolRequest }) =>
        owners.receiveRequest(from, pool, poolRequest),
      )
      .with({ kind: 'granted' }, { kind: 'refused' }, (reply) =>
        placementClient.handleReply(from, reply),
      )
      .with({ kind: 'finished' }, ({ pool, id }) => owners.finish(pool, id))
      .with({ kind: 'holding' }, ({ pool, ids }) => owners.receiveHeldGrants(from, pool, ids))
      .with({ kind: 'missing' }, ({ pool, engine, name }) =>
        owners.receiveMissingAdapter(pool, engine, name),
      )
      .with({ kind: 'withdraw' }, (withdrawal) => {
        const { pool, engine, name } = withdrawal;
        const busy = residency.applyWithdrawal(from, withdrawal);
        send(from, { kind: 'withdrawn', pool, engine, name, busy });
      })
      .with({ kind: 'withdrawn' }, (withdrawn) => owners.receiveWithdrawn(from, withdrawn))
      .with({ kind: 'residency' }, (announcement) => {
        residency.applyAnnouncement(from, announcement);
        owners.handleFence(announcement.pool, announcement.fence);
      })
      .with({ kind: 'relay' }, (relayed) => {
        if (relayed.to !== address) {
          host.send(relayed.to, relayed);
          return;
        }
        const inner = Message.safeParse(relayed.message);
        if (inner.success && inner.data.kind !== 'relay') {
          receive(relayed.from, inner.data);
        }
      })
      .with({ kind: 'handover' }, () => owners.reconcilePools())
      .with({ kind: 'callInquiry' }, { kind: 'callStatus' }, (callMessage) =>
        calls.receive(from, callMessage),
      )
      .with(
        P.union(
          { kind: 'news' },
          { kind: 'newsWanted' },
          { kind: 'engineState' },
          { kind: 'engineClaimed' },
          { kind: 'loadWanted' },
          { kind: 'loadRefused' },
          { kind: 'engineDoubted' },
          { kind: 'usage' },
          { kind: 'share' },
          { kind: 'forward' },
          { kind: 'turnWanted' },
          { kind: 'turn' },
          { kind: 'turnOver' },
          { kind: 'upstreamCrash' },
          { kind: 'requestServed' },
          { kind: 'blocks' },
          { kind: 'streamOrigins' },
          { kind: 'upstreamLimits' },
          { kind: 'upstreamRested' },
          { kind: 'probeWanted' },
          { kind: 'probed' },
          { kind: 'reach' },
          { kind: 'serviceBrittle' },
          { kind: 'placeWanted' },
          { kind: 'place' },
          { kind: 'placeEnded' },
          { kind: 'slotWanted' },
          { kind: 'slot' },
          { kind: 'slotEnded' },
          { kind: 'upstreamsLeaving' },
          { kind: 'permitWanted' },
          { kind: 'permit' },
          { kind: 'allowancePoll' },
          { kind: 'allowanceVote' },
          { kind: 'allowanceWanted' },
          { kind: 'allowanceLease' },
        ),
        ({ kind }) => host.log('messageDropped', { from, kind }),
      )
      .exhaustive();
  }

  function start(): void {
    members.start();
    tableController.start();
    owners.start();
    placementClient.start();
    calls.start();
  }

  /**
   * Stops gracefully: announces that this VM is leaving, so that responses of `where` no longer
   * list it, hands its pools over, and serves until earlier responses have expired (`handedOutMs`)
   * and then until no request is in flight or `stopDeadlineMs` has passed since the start of the
   * stop. Returns the number of requests still in flight, which are cut off.
   */
  async function stop(): Promise<number> {
    const startedAt = host.now();
    members.announceLeaving();
    await owners.handOver();
    await pause(options.handedOutMs);
    const isBusy = () => inFlight > 0 || calls.getPendingWriteCount() > 0;
    while (isBusy() && host.now() - startedAt < options.stopDeadlineMs) {
      await pause(DRAIN_CHECK_INTERVAL_MS);
    }
    owners.stop();
    placementClient.stop();
    calls.stop();
    tableController.stop();
    await members.stop();
    return inFlight;
  }

  function pause(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      host.setTimer(delayMs, resolve);
    });
  }

  return {
    start,
    stop,
    receive,
    fetch: (request: Request, bindings?: EntryContext['Bindings']) => app.fetch(request, bindings),
    isReady: () => tableController.isTrusted(host.now()) && !members.isLeaving(),
    metrics,
    getInFlight: () => inFlight,
    owners,
    members,
    table,
    tableController,
  };
}
