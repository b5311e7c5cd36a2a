import LEASE_MS from './LEASE_MS';

/** Time over which the use of an organisation is averaged. */
const USE_MS = 1000;
/** A VM wants what it uses in this time, if that is more than a request. */
const AHEAD_MS = 500;

/** Amount of one request, which this VM holds until it is sent or returned. */
interface Share {
  amount: number;
  epoch: number;
  /** `sent` shares cover the further attempts of a request. */
  state: 'held' | 'spent' | 'sent' | 'ended';
  /** Number of the newest request to the holder when the amount was spent. */
  spentAtId: number;
}

/**
 * Creates what a VM holds of an organisation's allowance: an amount that is free for requests, and the
 * amounts of requests that have not been sent yet. All of it is valid until a time that each reply of the
 * holder extends, and lost after that: the holder lends it again. An exchange states all that this VM holds.
 */
export default function createHolding() {
  let free = 0;
  /** Amounts of requests that have not been sent. */
  let assigned = 0;
  let validUntil = -Infinity;
  /** Increases when all that is held is lost. */
  let epoch = 0;
  let newestId = 0;
  let acknowledged = 0;
  let sentAt = -Infinity;
  let use = 0;
  let usedAt = -Infinity;
  /** Amount that was spent since the last request to the holder. */
  let unreported = 0;
  /** Amount that was sent without a share, and what of it the last request to the holder stated. */
  let overdrawn = 0;
  let stated = 0;

  function drop(): void {
    free = 0;
    assigned = 0;
    unreported = 0;
    epoch += 1;
    validUntil = -Infinity;
  }

  function expire(now: number): void {
    if (now >= validUntil && (free > 0 || assigned > 0)) {
      drop();
    }
  }

  /** Takes an amount out of what is free; undefined if there is too little. */
  function tryTake(now: number, amount: number): Share | undefined {
    expire(now);
    if (free < amount) {
      return undefined;
    }
    free -= amount;
    assigned += amount;
    recordUse(now, amount);
    return { amount, epoch, state: 'held', spentAtId: 0 };
  }

  function recordUse(now: number, amount: number): void {
    use = use * Math.exp(-(now - usedAt) / USE_MS) + amount;
    usedAt = now;
  }

  /**
   * Uses a share; returns false if it has been lost. The account is charged again for each further
   * attempt after one that was sent, which is not refused.
   */
  function trySpend(now: number, share: Share): boolean {
    expire(now);
    if (share.state === 'held') {
      const isValid = share.epoch === epoch;
      Object.assign(share, { state: isValid ? 'spent' : 'ended', spentAtId: newestId });
      assigned -= isValid ? share.amount : 0;
      unreported += isValid ? share.amount : 0;
    }
    overdrawn += share.state === 'sent' ? share.amount : 0;
    return share.state === 'spent' || share.state === 'sent';
  }

  /**
   * Ends the use of a share. If its request was not sent, the amount is returned, unless the holder has
   * been told that it was spent.
   */
  function end(now: number, share: Share, isSent: boolean): void {
    expire(now);
    const { state, amount } = share;
    if (state === 'sent' || state === 'ended') {
      return;
    }
    Object.assign(share, { state: isSent && state === 'spent' ? 'sent' : 'ended' });
    if (share.epoch !== epoch || share.state === 'sent') {
      return;
    }
    if (state === 'held') {
      assigned -= amount;
      free += amount;
    } else if (share.spentAtId === newestId && now < validUntil) {
      unreported = Math.max(0, unreported - amount);
      free += amount;
    }
  }

  /** Returns the fields of a request to the holder for `amounts`; `isReturn`: gives back what is free. */
  function startExchange(now: number, amounts: readonly number[], isReturn: boolean) {
    expire(now);
    newestId += 1;
    sentAt = now;
    unreported = 0;
    stated = overdrawn;
    const returned = isReturn ? free : 0;
    free -= returned;
    const soon = (use * Math.exp(-(now - usedAt) / USE_MS) * AHEAD_MS) / USE_MS;
    const largest = Math.max(0, ...amounts);
    return {
      id: newestId,
      acknowledged,
      amounts: [...amounts],
      ahead: amounts.length > 0 && soon >= largest ? Math.max(0, soon - free) : 0,
      unspent: free + assigned,
      returned,
      overdrawn: stated,
    };
  }

  /** Adds what a reply lends; returns false if the reply is outdated. */
  function finishExchange(now: number, id: number, amount: number): boolean {
    expire(now);
    if (id !== newestId || acknowledged === id || now >= sentAt + LEASE_MS) {
      return false;
    }
    acknowledged = id;
    overdrawn -= stated;
    validUntil = sentAt + LEASE_MS;
    free += amount;
    return true;
  }

  return {
    tryTake,
    trySpend,
    end,
    startExchange,
    finishExchange,
    /** Loses all that is held, and ignores replies that are under way. */
    reset: () => {
      drop();
      newestId += 1;
    },
    getState: (now: number) => {
      expire(now);
      return {
        free,
        assigned,
        unreported,
        overdrawn,
        validForMs: validUntil - now,
        idleMs: now - usedAt,
        exchangedMs: now - sentAt,
      };
    },
  };
}
