import type Message from '../mesh/Message';
import type Organisation from '../manifest/Organisation';
import type Clock from '../shared/Clock';
import type AllowanceBounds from './AllowanceBounds';
import type AllowanceLimit from './AllowanceLimit';
import type Grant from './Grant';
import type LeaseReply from './LeaseReply';
import LEASE_MS from './LEASE_MS';
import createAccount from './createAccount';
import createHolderElection from './createHolderElection';
import createHolding from './createHolding';
import getCapacities from './getCapacities';

/** A reply takes a round trip between two VMs; without one in this time, a request is refused. */
const REPLY_TIMEOUT_MS = 150;
/** Time until another holder is elected, or the present one replies again. */
const NO_HOLDER_RETRY_AFTER_MS = 600;
/** Spreads the retries of callers that were refused for want of a holder. */
const RETRY_AFTER_JITTER_MS = 600;
/** What was not used for this time is returned. */
const IDLE_MS = 250;
/** Pause between messages that no request waits for. */
const MIN_EXCHANGE_MS = 100;
/** Requests that one message asks for. */
const MAX_AMOUNTS = 64;
/** What was sent is reported after this time if much of the capacity would seem to be lent otherwise. */
const REPORT_MS = 200;
const MAX_UNREPORTED_PART = 0.6;
const MS_PER_SECOND = 1000;

interface AllowancesHost extends Clock {
  /** Returns whether an organisation has an allowance by the manifest in force. */
  isNeeded(): boolean;
  /** Returns the version of the manifest in force. */
  getManifestVersion(): number;
  getBounds(): AllowanceBounds;
  /** Returns the VMs that may run, this one included; undefined if they are not known yet. */
  tryGetVms(now: number): readonly string[] | undefined;
  /** Ranks the VMs that serve; the first is to hold the accounts. */
  rankHolders(now: number): readonly string[];
  /** Returns whether the message was queued for sending. */
  send(to: string, message: Message): boolean;
  /** Returns a number from 0 to 1. */
  random(): number;
  onElected(missing: number): void;
}

type Wanted = Extract<Message, { kind: 'allowanceWanted' }>;
type Reason = Extract<Grant, { kind: 'refused' }>['seen']['reason'];

interface Waiter {
  amount: number;
  resolve: (grant: Grant) => void;
}

interface Client {
  holding: ReturnType<typeof createHolding>;
  limit: AllowanceLimit;
  waiters: Waiter[];
  /** The request to the holder that has not been answered. */
  exchange: { id: number; holder: string; sentAt: number; waiters: Waiter[] } | undefined;
  cancelTimeout: () => void;
}

/**
 * Keeps the allowances of organisations over all VMs. One elected VM holds the accounts and lends amounts
 * for a short time; a VM that holds enough grants a request without asking. Handles callers that send more
 * than their allowance by way of all VMs at once; without allowances in the manifest, nothing happens.
 */
export default function createAllowances(
  host: AllowancesHost,
  options: { address: string; run: string; startedAt: number },
) {
  const clients = new Map<string, Client>();
  const accounts = new Map<string, ReturnType<typeof createAccount>>();
  let takenOver = { at: -Infinity, missing: 0 };
  const election = createHolderElection(
    {
      ...host,
      onHolderChange: () => clients.forEach(({ holding }) => holding.reset()),
      onElected: (now, missing) => {
        takenOver = { at: now, missing };
        accounts.forEach((account) => account.takeOver(now, missing));
        host.onElected(missing);
      },
    },
    options,
  );

  /** Decides on the amount of one request; asks the holder if this VM holds too little. */
  function acquire(
    now: number,
    { name, allowance }: Pick<Organisation, 'name' | 'allowance'>,
    amount: number,
  ): Promise<Grant> {
    if (!allowance) {
      return Promise.resolve({ kind: 'granted', trySpend: () => true, end: () => {} });
    }
    const { perSecond, burst } = allowance;
    const client = getClient(name);
    client.limit = { version: host.getManifestVersion(), perSecond, burst };
    if (!(amount > 0 && amount <= getCapacities(allowance, host.getBounds()).vmShare)) {
      return Promise.resolve(refuse(now, amount, 'tooLarge', undefined));
    }
    const grant = tryGrant(now, client, amount);
    if (grant) {
      return Promise.resolve(grant);
    }
    return new Promise((resolve) => {
      client.waiters.push({ amount, resolve });
      askForWaiters(now, name, client);
    });
  }

  function getClient(organisation: string): Client {
    const client = clients.get(organisation) ?? {
      holding: createHolding(),
      limit: { version: 0, perSecond: 0, burst: 0 },
      waiters: [],
      exchange: undefined,
      cancelTimeout: () => {},
    };
    clients.set(organisation, client);
    return client;
  }

  function tryGrant(now: number, { holding }: Client, amount: number): Grant | undefined {
    const share = holding.tryTake(now, amount);
    return (
      share && {
        kind: 'granted',
        trySpend: (at) => holding.trySpend(at, share),
        end: (at, isSent) => holding.end(at, share, isSent),
      }
    );
  }

  /** Refuses for a reason that an account does not know. */
  function refuse(now: number, amount: number, reason: Reason, askedAt: number | undefined): Grant {
    const ageMs = askedAt === undefined ? undefined : now - askedAt;
    const holder = election.tryGetHolder(now);
    return {
      kind: 'refused',
      retryAfterMs: Math.round(NO_HOLDER_RETRY_AFTER_MS + host.random() * RETRY_AFTER_JITTER_MS),
      seen: { reason, holder, amount, level: 0, lent: 0, capacity: 0, ageMs },
    };
  }

  function askForWaiters(now: number, organisation: string, client: Client): void {
    if (!client.exchange && client.waiters.length > 0) {
      ask(now, organisation, client, client.waiters.splice(0, MAX_AMOUNTS), false);
    }
  }

  function ask(
    now: number,
    organisation: string,
    client: Client,
    waiters: Waiter[],
    isReturn: boolean,
  ): void {
    const holder = election.tryGetHolder(now);
    if (holder === undefined) {
      waiters.forEach(({ amount, resolve }) => resolve(refuse(now, amount, 'noHolder', undefined)));
      askForWaiters(now, organisation, client);
      return;
    }
    const amounts = waiters.map(({ amount }) => amount);
    const wanted: Wanted = {
      kind: 'allowanceWanted',
      organisation,
      run: options.run,
      limit: client.limit,
      ...client.holding.startExchange(now, amounts, isReturn),
    };
    client.exchange = { id: wanted.id, holder, sentAt: now, waiters };
    if (holder === options.address) {
      receiveReply(now, organisation, client, decide(now, holder, wanted));
    } else if (host.send(holder, wanted)) {
      client.cancelTimeout = host.setTimer(REPLY_TIMEOUT_MS, () =>
        endUnanswered(host.now(), organisation, client),
      );
    } else {
      endUnanswered(now, organisation, client);
    }
  }

  function endUnanswered(now: number, organisation: string, client: Client): void {
    const { exchange } = client;
    client.exchange = undefined;
    exchange?.waiters.forEach(({ amount, resolve }) =>
      resolve(refuse(now, amount, 'noReply', exchange.sentAt)),
    );
    askForWaiters(now, organisation, client);
  }

  function receiveReply(
    now: number,
    organisation: string,
    client: Client,
    reply: LeaseReply,
  ): void {
    const { exchange } = client;
    const isUsable = reply.isHolder && client.holding.finishExchange(now, reply.id, reply.amount);
    if (exchange?.id !== reply.id) {
      // The reply came late; what it lends is used for later requests.
      return;
    }
    client.cancelTimeout();
    client.exchange = undefined;
    const { level, lent, capacity } = reply;
    exchange.waiters.forEach(({ amount, resolve }, index) => {
      const grant = isUsable ? tryGrant(now, client, amount) : undefined;
      if (grant) {
        resolve(grant);
      } else if (isUsable && index >= reply.grantedCount) {
        const retryAfterMs = reply.retryAfterMs[index - reply.grantedCount] ?? MS_PER_SECOND;
        const { holder, sentAt } = exchange;
        const ageMs = now - sentAt;
        const seen = { reason: 'exceeded' as const, holder, amount, level, lent, capacity, ageMs };
        resolve({ kind: 'refused', retryAfterMs, seen });
      } else {
        resolve(refuse(now, amount, reply.isHolder ? 'noReply' : 'noHolder', exchange.sentAt));
      }
    });
    askForWaiters(now, organisation, client);
  }

  /** Lends to a VM if this one is the holder. */
  function decide(now: number, from: string, wanted: Wanted): LeaseReply {
    const none = { id: wanted.id, isHolder: false, amount: 0, grantedCount: 0, retryAfterMs: [] };
    if (!election.isHolder(now)) {
      return { ...none, level: 0, lent: 0, capacity: 0 };
    }
    const known = accounts.get(wanted.organisation);
    const account = known ?? createAccount(host.getBounds);
    if (!known) {
      account.takeOver(takenOver.at, takenOver.missing);
      accounts.set(wanted.organisation, account);
    }
    account.setLimit(now, wanted.limit);
    const lease = account.lend(now, `${from} ${wanted.run}`, {
      ...wanted,
      amounts: wanted.amounts.map(toAmount),
      ahead: toAmount(wanted.ahead),
      unspent: toAmount(wanted.unspent),
      returned: toAmount(wanted.returned),
      overdrawn: toAmount(wanted.overdrawn),
    });
    return lease
      ? { id: wanted.id, isHolder: true, ...lease }
      : { ...none, level: 0, lent: 0, capacity: 0 };
  }

  function handleRequest(now: number, from: string, wanted: Wanted): void {
    const { organisation } = wanted;
    host.send(from, { kind: 'allowanceLease', organisation, ...decide(now, from, wanted) });
  }

  function handleReply(
    now: number,
    from: string,
    { organisation, ...reply }: Extract<Message, { kind: 'allowanceLease' }>,
  ): void {
    const client = clients.get(organisation);
    if (client && from === election.tryGetHolder(now)) {
      receiveReply(now, organisation, client, reply);
    }
  }

  /** Elects the holder, extends what waiting requests hold and returns what is not used. */
  function refresh(now: number): void {
    if (!host.isNeeded()) {
      return;
    }
    election.refresh(now);
    clients.forEach((client, organisation) => {
      if (client.exchange || election.tryGetHolder(now) === undefined) {
        return;
      }
      const { free, assigned, unreported, overdrawn, validForMs, idleMs, exchangedMs } =
        client.holding.getState(now);
      const isReturn = free > 0 && idleMs >= IDLE_MS;
      const isExtended = assigned > 0 && validForMs < LEASE_MS / 2;
      const { perSecond } = client.limit;
      const { capacity } = getCapacities(client.limit, host.getBounds());
      const isReport =
        unreported > 0 &&
        exchangedMs >= REPORT_MS &&
        (perSecond * LEASE_MS) / MS_PER_SECOND > capacity * MAX_UNREPORTED_PART;
      const isDue = exchangedMs >= MIN_EXCHANGE_MS;
      if (isDue && (isReturn || isExtended || isReport || overdrawn > 0)) {
        ask(now, organisation, client, [], isReturn);
      }
    });
  }

  return {
    acquire,
    refresh,
    handleRequest,
    handleReply,
    handlePoll: election.handlePoll,
    handleVote: election.handleVote,
    isHolder: election.isHolder,
    tryGetHolder: election.tryGetHolder,
  };
}

/** Returns an amount that another VM stated, without values that would change the account's sum. */
function toAmount(value: number): number {
  return Number.isFinite(value) ? Math.max(0, value) : 0;
}
