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

type Reply = Extract<Message, { kind: 'granted' | 'refused' }>;

const OWNER_CHECK_MS = 100;
const ASK_REPEAT_MS = 1000;
const HOLDING_PAUSE_MS = 3000;
const NO_OWNER_RETRY_MS = 1500;

interface PlacementClientHost extends Clock {
  send(to: string, message: Message): boolean;
}

interface Wait {
  owner: string;
  end(reply: Reply | undefined): void;
}

/**
 * Gets requests their places: from the pool's owner, or, while no owner is heard, on an engine
 * that the last owner announced as holding the adapter. Every place pins its adapter here, where
 * each eviction asks first.
 */
export default function createPlacementClient(
  host: PlacementClientHost,
  parts: { members: Members; owners: Owners; residency: Residency; table: Table },
  options: { address: string },
) {
  const { members, owners, residency, table } = parts;
  const waits = new Map<string, Wait>();
  const held = new Map<string, Set<string>>();
  let attempts = 0;
  let stopHolding = () => {};

  function start(): void {
    const report = () => {
      reportHolding();
      stopHolding = host.setTimer(HOLDING_PAUSE_MS, report);
    };
    stopHolding = host.setTimer(HOLDING_PAUSE_MS, report);
  }

  function reportHolding(): void {
    residency.getPools().forEach(({ pool, owner }) => {
      if (owner !== options.address) {
        host.send(owner, { kind: 'holding', pool, ids: [...(held.get(pool) ?? [])] });
      }
    });
  }

  function getOwner(pool: string): string | undefined {
    if (owners.isOwner(pool)) {
      return options.address;
    }
    const owner = residency.tryGetPool(pool)?.owner ?? owners.getRecordedOwner(pool);
    return owner === options.address ? undefined : owner;
  }

  /** Waits for a place until the request is of no more use, or its owner refuses it. */
  async function acquire(
    completion: Completion,
    avoid: string | undefined,
  ): Promise<Result<Placement, RequestError>> {
    while (host.now() < completion.startBy) {
      const owner = getOwner(completion.pool);
      const resident = isDirect(owner) ? undefined : tryTakeResident(completion, avoid);
      if (resident) {
        return { ok: true, value: resident };
      }
      if (owner !== undefined && isReachable(owner)) {
        const reply = await ask(owner, completion, avoid);
        if (reply?.kind === 'granted') {
          const place = takeGrant(owner, reply);
          if (place) {
            return { ok: true, value: place };
          }
        } else if (reply && reply.reason !== 'notOwner') {
          const { reason, retryAfterMs } = reply;
          return { ok: false, error: { reason, ran: 'no', retryAfterMs } };
        }
      }
      await pause(OWNER_CHECK_MS);
    }
    const error = { reason: 'noOwner', ran: 'no', retryAfterMs: NO_OWNER_RETRY_MS } as const;
    return { ok: false, error };
  }

  function isDirect(owner: string | undefined): boolean {
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

  /** Asks an owner and waits for its reply; undefined when the owner is lost or another's turn. */
  function ask(
    owner: string,
    completion: Completion,
    avoid: string | undefined,
  ): Promise<Reply | undefined> {
    attempts += 1;
    const id = `${completion.id}.${attempts}`;
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
        avoid,
      },
    };
    return new Promise((resolve) => {
      let cancelCheck = () => {};
      let askedAt = now;
      // A link may have lost the request or its reply; the owner knows a repeated one by its id.
      const repeatAsk = () => {
        if (owner !== options.address && host.now() - askedAt >= ASK_REPEAT_MS) {
          askedAt = host.now();
          const startWithinMs = Math.max(0, completion.startBy - askedAt);
          host.send(owner, { ...message, ask: { ...message.ask, startWithinMs } });
        }
      };
      const end = (reply: Reply | undefined) => {
        cancelCheck();
        waits.delete(id);
        resolve(reply);
      };
      const check = () => {
        const isLost = !isDirect(owner) && hasResident(completion, avoid);
        if (
          isLost ||
          !isReachable(owner) ||
          getOwner(pool) !== owner ||
          host.now() > completion.startBy + 1000
        ) {
          host.send(owner, { kind: 'finished', pool, id });
          end(undefined);
        } else {
          repeatAsk();
          cancelCheck = host.setTimer(OWNER_CHECK_MS, check);
        }
      };
      cancelCheck = host.setTimer(OWNER_CHECK_MS, check);
      waits.set(id, { owner, end });
      if (owner === options.address) {
        owners.receiveRequest(owner, pool, message.ask);
      } else if (!host.send(owner, message)) {
        end(undefined);
      }
    });
  }

  /** Takes an owner's reply. A grant that nobody waits for any more is given back. */
  function receive(from: string, reply: Reply): void {
    const wait = waits.get(reply.id);
    if (wait?.owner === from) {
      wait.end(reply);
      return;
    }
    if (reply.kind === 'granted') {
      giveBack(from, reply.pool, reply.id);
    }
  }

  function giveBack(owner: string, pool: string, id: string): void {
    held.get(pool)?.delete(id);
    if (owner === options.address) {
      owners.finish(pool, id);
    } else {
      host.send(owner, { kind: 'finished', pool, id });
    }
  }

  function takeGrant(
    owner: string,
    grant: Extract<Reply, { kind: 'granted' }>,
  ): Placement | undefined {
    const { pool, id, engine, name } = grant;
    const row = table.tryGetValue('upstreams', engine);
    const isStale = grant.fence < (residency.tryGetPool(pool)?.fence ?? 0);
    if (isStale || row?.kind !== 'engine') {
      giveBack(owner, pool, id);
      return undefined;
    }
    const unpin = residency.pin(engine, name);
    const ids = held.get(pool) ?? new Set();
    held.set(pool, ids.add(id));
    const release = () => {
      unpin();
      if (held.get(pool)?.has(id)) {
        giveBack(owner, pool, id);
      }
    };
    return { engine, address: row.address, name, release };
  }

  /**
   * Takes a place without an owner's word. This is safe against evictions only while this VM still
   * counts as a holder: by its own lease, or because no one can tell that the lease has lapsed.
   */
  function tryTakeResident(
    completion: Completion,
    avoid: string | undefined,
  ): Placement | undefined {
    const candidate = tryGetResident(completion, avoid);
    const row = candidate && table.tryGetValue('upstreams', candidate.engine);
    if (row?.kind !== 'engine') {
      return undefined;
    }
    const { engine, name } = candidate!;
    return { engine, address: row.address, name, release: residency.pin(engine, name) };
  }

  function tryGetResident(completion: Completion, avoid: string | undefined) {
    const now = host.now();
    if (!members.hasLease(now) && !members.hasMajority(now)) {
      return undefined;
    }
    const model = `${completion.adapter}@${completion.version}`;
    return residency
      .getResidentEngines(completion.pool, model)
      .find(({ engine }) => engine !== avoid && !isLeaving(engine));
  }

  function hasResident(completion: Completion, avoid: string | undefined): boolean {
    return tryGetResident(completion, avoid) !== undefined;
  }

  function isLeaving(engine: string): boolean {
    const address = table.tryGetValue('upstreams', engine)?.address ?? '';
    return members.getUpstreamStates().get(address) === 'leaving';
  }

  /** Tells the owner that an engine did not hold what it was thought to hold. */
  function reportMissing(pool: string, place: Placement): void {
    const owner = getOwner(pool);
    if (owner === options.address) {
      owners.receiveMissingAdapter(pool, place.engine, place.name);
    } else if (owner !== undefined) {
      host.send(owner, { kind: 'missing', pool, engine: place.engine, name: place.name });
    }
  }

  return { start, stop: () => stopHolding(), acquire, receive, reportMissing };
}
