import type Members from '../members/Members';
import type Message from '../mesh/Message';
import type Owners from '../owners/Owners';
import type Residency from '../owners/Residency';
import type Result from '../shared/Result';
import type Clock from '../shared/Clock';
import type Table from '../table/Table';
import type Completion from './Completion';
import type Placement from './Placement';
import type RequestError from './RequestError';

type OwnerReply = Extract<Message, { kind: 'granted' | 'refused' }>;

const OWNER_CHECK_INTERVAL_MS = 100;
const REQUEST_RESEND_MS = 1000;
const HELD_GRANTS_INTERVAL_MS = 3000;
const NO_OWNER_RETRY_AFTER_MS = 1500;

interface PlacementClientHost extends Clock {
  send(to: string, message: Message): boolean;
}

/** A placement request that waits for the owner's reply. */
interface PendingRequest {
  owner: string;
  end(reply: OwnerReply | undefined): void;
}

/**
 * Obtains placements for requests: from the pool's owner or, while there is no recent heartbeat
 * from it, on an engine at which the last owner announced the adapter as resident. Each placement
 * pins its adapter on this VM, and an owner evicts an adapter only after the VMs that may use it
 * have confirmed that they have no pin on it.
 */
export default function createPlacementClient(
  host: PlacementClientHost,
  parts: { members: Members; owners: Owners; residency: Residency; table: Table },
  options: { address: string },
) {
  const { members, owners, residency, table } = parts;
  const pendingRequests = new Map<string, PendingRequest>();
  /** Ids of the grants in use, by pool. */
  const heldGrants = new Map<string, Set<string>>();
  let requestCount = 0;
  let stopReporting = () => {};

  function start(): void {
    const reportAndReschedule = () => {
      reportHeldGrants();
      stopReporting = host.setTimer(HELD_GRANTS_INTERVAL_MS, reportAndReschedule);
    };
    stopReporting = host.setTimer(HELD_GRANTS_INTERVAL_MS, reportAndReschedule);
  }

  /** Reports the grants in use to each pool's owner, which releases its other grants to this VM. */
  function reportHeldGrants(): void {
    residency.getPools().forEach(({ pool, owner }) => {
      if (owner !== options.address) {
        host.send(owner, { kind: 'holding', pool, ids: [...(heldGrants.get(pool) ?? [])] });
      }
    });
  }

  /** Returns the address of a pool's owner, as far as this VM has a record of it. */
  function getOwner(pool: string): string | undefined {
    if (owners.isOwner(pool)) {
      return options.address;
    }
    const owner = residency.tryGetPool(pool)?.owner ?? owners.getRecordedOwner(pool);
    return owner === options.address ? undefined : owner;
  }

  /** Obtains a placement. Fails at `startBy`, or if the pool's owner refuses the request. */
  async function acquire(
    completion: Completion,
    avoidedEngine: string | undefined,
  ): Promise<Result<Placement, RequestError>> {
    while (host.now() < completion.startBy) {
      const owner = getOwner(completion.pool);
      const residentPlacement = isOwnerResponsive(owner)
        ? undefined
        : tryPlaceWithoutOwner(completion, avoidedEngine);
      if (residentPlacement) {
        return { ok: true, value: residentPlacement };
      }
      if (owner !== undefined && isReachable(owner)) {
        const reply = await requestPlacement(owner, completion, avoidedEngine);
        if (reply?.kind === 'granted') {
          const placement = acceptGrant(owner, reply);
          if (placement) {
            return { ok: true, value: placement };
          }
        } else if (reply && reply.reason !== 'notOwner') {
          const { reason, retryAfterMs } = reply;
          return { ok: false, error: { reason, ran: 'no', retryAfterMs } };
        }
      }
      await pause(OWNER_CHECK_INTERVAL_MS);
    }
    const error = { reason: 'noOwner', ran: 'no', retryAfterMs: NO_OWNER_RETRY_AFTER_MS } as const;
    return { ok: false, error };
  }

  /** Returns whether the owner is this VM, or a VM from which this one has a recent heartbeat. */
  function isOwnerResponsive(owner: string | undefined): boolean {
    return (
      owner === options.address ||
      (owner !== undefined && members.hasRecentHeartbeat(host.now(), owner))
    );
  }

  function isReachable(owner: string): boolean {
    return owner === options.address || members.isAlive(host.now(), owner);
  }

  function pause(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      host.setTimer(delayMs, resolve);
    });
  }

  /**
   * Requests a placement from an owner and returns its reply. Returns undefined if the owner cannot
   * be reached, is no longer the owner, has not replied one second after `startBy`, or has sent no
   * recent heartbeat while the request can be placed without it.
   */
  function requestPlacement(
    owner: string,
    completion: Completion,
    avoidedEngine: string | undefined,
  ): Promise<OwnerReply | undefined> {
    requestCount += 1;
    const id = `${completion.id}.${requestCount}`;
    const now = host.now();
    const { adapter, version, team, priority, weight, tokens, session, pool } = completion;
    const message: Extract<Message, { kind: 'ask' }> = {
      kind: 'ask',
      pool,
      ask: {
        id,
        adapter,
        version,
        team,
        class: completion.class,
        priority,
        weight,
        tokens,
        startWithinMs: completion.startBy - now,
        session,
        avoid: avoidedEngine,
      },
    };
    return new Promise((resolve) => {
      let cancelCheck = () => {};
      let sentAt = now;
      // The request or its reply may have been lost. The owner detects a duplicate by its id.
      const resendIfDue = () => {
        if (owner !== options.address && host.now() - sentAt >= REQUEST_RESEND_MS) {
          sentAt = host.now();
          const startWithinMs = Math.max(0, completion.startBy - sentAt);
          host.send(owner, { ...message, ask: { ...message.ask, startWithinMs } });
        }
      };
      const end = (reply: OwnerReply | undefined) => {
        cancelCheck();
        pendingRequests.delete(id);
        resolve(reply);
      };
      const check = () => {
        const canBypassOwner =
          !isOwnerResponsive(owner) && hasResidentEngine(completion, avoidedEngine);
        if (
          canBypassOwner ||
          !isReachable(owner) ||
          getOwner(pool) !== owner ||
          host.now() > completion.startBy + 1000
        ) {
          host.send(owner, { kind: 'finished', pool, id });
          end(undefined);
        } else {
          resendIfDue();
          cancelCheck = host.setTimer(OWNER_CHECK_INTERVAL_MS, check);
        }
      };
      cancelCheck = host.setTimer(OWNER_CHECK_INTERVAL_MS, check);
      pendingRequests.set(id, { owner, end });
      if (owner === options.address) {
        owners.receiveRequest(owner, pool, message.ask);
      } else if (!host.send(owner, message)) {
        end(undefined);
      }
    });
  }

  /** Handles an owner's reply. A grant for a request that is no longer pending is returned. */
  function handleReply(from: string, reply: OwnerReply): void {
    const pending = pendingRequests.get(reply.id);
    if (pending?.owner === from) {
      pending.end(reply);
      return;
    }
    if (reply.kind === 'granted') {
      returnGrant(from, reply.pool, reply.id);
    }
  }

  /** Ends a grant at the owner, so that it can grant the capacity to another request. */
  function returnGrant(owner: string, pool: string, id: string): void {
    heldGrants.get(pool)?.delete(id);
    if (owner === options.address) {
      owners.finish(pool, id);
    } else {
      host.send(owner, { kind: 'finished', pool, id });
    }
  }

  /**
   * Returns the placement for a grant. Returns undefined, and returns the grant to the owner, if
   * the grant has an outdated fencing number or its engine is not in the table.
   */
  function acceptGrant(
    owner: string,
    grant: Extract<OwnerReply, { kind: 'granted' }>,
  ): Placement | undefined {
    const { pool, id, engine, name } = grant;
    const row = table.tryGetValue('upstreams', engine);
    const isStale = grant.fence < (residency.tryGetPool(pool)?.fence ?? 0);
    if (isStale || row?.kind !== 'engine') {
      returnGrant(owner, pool, id);
      return undefined;
    }
    const unpin = residency.pin(engine, name);
    const ids = heldGrants.get(pool) ?? new Set();
    heldGrants.set(pool, ids.add(id));
    const release = () => {
      unpin();
      if (heldGrants.get(pool)?.has(id)) {
        returnGrant(owner, pool, id);
      }
    };
    return { engine, address: row.address, name, release };
  }

  /**
   * Places a request on an engine without a grant from the owner. This is safe against evictions
   * only while owners still check this VM for pins: because it has its lease, or because it is part
   * of a majority, so that no other VM can conclude that its lease has ended.
   */
  function tryPlaceWithoutOwner(
    completion: Completion,
    avoidedEngine: string | undefined,
  ): Placement | undefined {
    const candidate = tryGetResidentEngine(completion, avoidedEngine);
    const row = candidate && table.tryGetValue('upstreams', candidate.engine);
    if (row?.kind !== 'engine') {
      return undefined;
    }
    const { engine, name } = candidate!;
    return { engine, address: row.address, name, release: residency.pin(engine, name) };
  }

  function tryGetResidentEngine(completion: Completion, avoidedEngine: string | undefined) {
    const now = host.now();
    if (!members.hasLease(now) && !members.hasMajority(now)) {
      return undefined;
    }
    const model = `${completion.adapter}@${completion.version}`;
    return residency
      .getResidentEngines(completion.pool, model)
      .find(({ engine }) => engine !== avoidedEngine && !isLeaving(engine));
  }

  function hasResidentEngine(completion: Completion, avoidedEngine: string | undefined): boolean {
    return tryGetResidentEngine(completion, avoidedEngine) !== undefined;
  }

  function isLeaving(engine: string): boolean {
    const address = table.tryGetValue('upstreams', engine)?.address ?? '';
    return members.getUpstreamStates().get(address) === 'leaving';
  }

  /** Reports to the pool's owner that the engine of a placement does not hold its adapter. */
  function reportMissing(pool: string, placement: Placement): void {
    const owner = getOwner(pool);
    if (owner === options.address) {
      owners.receiveMissingAdapter(pool, placement.engine, placement.name);
    } else if (owner !== undefined) {
      host.send(owner, { kind: 'missing', pool, engine: placement.engine, name: placement.name });
    }
  }

  return { start, stop: () => stopReporting(), acquire, handleReply, reportMissing };
}
