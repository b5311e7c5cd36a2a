import type SlotRequest from './SlotRequest';

/** Round trips to the VM and from there to the upstream, and requests that take longer than expected. */
const MARGIN_MS = 15;
/** Time constant of the rate at which requests of an organisation arrive. */
const RATE_TIME_CONSTANT_MS = 500;

/** An organisation with fewer counted arrivals than this one sends nothing. */
const MIN_ARRIVALS = 0.01;

interface Group {
  waiting: SlotRequest[];
  served: number;
  /** Arrivals, each of which counts less with its age. */
  arrivals: number;
  arrivedAt: number;
}

/**
 * Orders requests that wait for slots when more arrive than slots become free. Organisations share by
 * start-time fair queueing with equal weights: the one that was served least so far is next, and one
 * that did not wait gains nothing from that time. Within an organisation, requests that can still meet
 * their objective come first, then the more urgent ones, then the earlier objective.
 */
export default function createFairQueue() {
  const groups = new Map<string | undefined, Group>();
  /** Service received by the organisation that was served last; organisations start from here. */
  let virtualTime = 0;
  let count = 0;

  function add(now: number, request: SlotRequest): void {
    const group = groups.get(request.organisation) ?? {
      waiting: [],
      served: virtualTime,
      arrivals: 0,
      arrivedAt: now,
    };
    groups.set(request.organisation, group);
    if (group.waiting.length === 0) {
      group.served = Math.max(group.served, virtualTime);
    }
    group.arrivals = getArrivals(now, group) + 1;
    group.arrivedAt = now;
    group.waiting.push(request);
    count += 1;
  }

  /**
   * Returns the part of `slotsPerMs` that is left for late requests of an organisation: its share, less
   * what its requests that arrive meanwhile take, which come first.
   */
  function getLateRate(now: number, organisation: string | undefined, slotsPerMs: number): number {
    const rates = [...groups].map(([name, group]) => ({
      name,
      perMs: getArrivals(now, group) / RATE_TIME_CONSTANT_MS,
    }));
    const active = Math.max(1, [...groups.values()].filter(isWaiting).length);
    const others = rates
      .filter(({ name }) => name !== organisation)
      .reduce((sum, { perMs }) => sum + perMs, 0);
    const own = rates.find(({ name }) => name === organisation)?.perMs ?? 0;
    return Math.max(slotsPerMs / active, slotsPerMs - others) - own;
  }

  /** Removes and returns the next request that `isServable`; undefined if there is none. */
  function takeNext(
    now: number,
    expectedMs: number,
    isServable: (request: SlotRequest) => boolean,
  ): SlotRequest | undefined {
    const candidates = [...groups.values()]
      .filter(isWaiting)
      .sort((left, right) => left.served - right.served);
    for (const group of candidates) {
      const next = group.waiting.reduce<SlotRequest | undefined>(
        (best, request) =>
          (best === undefined || compare(now, expectedMs, request, best) < 0) && isServable(request)
            ? request
            : best,
        undefined,
      );
      if (next) {
        virtualTime = Math.max(virtualTime, group.served);
        group.served += 1;
        removeFrom(group.waiting, next);
        return next;
      }
    }
    return undefined;
  }

  function remove(vm: string, id: number): void {
    groups.forEach(({ waiting }) => {
      const found = waiting.find((request) => request.vm === vm && request.id === id);
      if (found) {
        removeFrom(waiting, found);
      }
    });
  }

  function removeFrom(waiting: SlotRequest[], request: SlotRequest): void {
    waiting.splice(waiting.indexOf(request), 1);
    count -= 1;
  }

  /** Returns the number of requests that are served before one, and it. */
  function getPosition(now: number, expectedMs: number, request: SlotRequest): number {
    const own = groups.get(request.organisation)?.waiting ?? [];
    const ownPosition = own.filter(
      (other) => other === request || compare(now, expectedMs, other, request) <= 0,
    ).length;
    let position = ownPosition;
    groups.forEach(({ waiting }, organisation) => {
      position += organisation === request.organisation ? 0 : Math.min(waiting.length, ownPosition);
    });
    return position;
  }

  /** Removes and returns the requests for which `isEnded`; it gets the position of each. */
  function takeEnded(
    now: number,
    expectedMs: number,
    isEnded: (request: SlotRequest, position: number) => boolean,
  ): { request: SlotRequest; position: number }[] {
    const lengths = new Map([...groups].map(([name, { waiting }]) => [name, waiting.length]));
    return [...groups].flatMap(([organisation, group]) => {
      const ordered = [...group.waiting].sort((left, right) =>
        compare(now, expectedMs, left, right),
      );
      let kept = 0;
      const ended = ordered.flatMap((request) => {
        let position = kept + 1;
        lengths.forEach((length, other) => {
          position += other === organisation ? 0 : Math.min(length, kept + 1);
        });
        if (isEnded(request, position)) {
          return [{ request, position }];
        }
        kept += 1;
        return [];
      });
      ended.forEach(({ request }) => removeFrom(group.waiting, request));
      return ended;
    });
  }

  /** Forgets organisations that have not been served more than others and send nothing. */
  function removeIdle(now: number): void {
    groups.forEach((group, organisation) => {
      if (
        !isWaiting(group) &&
        group.served <= virtualTime &&
        getArrivals(now, group) < MIN_ARRIVALS
      ) {
        groups.delete(organisation);
      }
    });
  }

  return {
    add,
    takeNext,
    remove,
    getPosition,
    getLateRate,
    takeEnded,
    removeIdle,
    isLate: isRequestLate,
    getCount: () => count,
    getAll: () => [...groups.values()].flatMap(({ waiting }) => waiting),
  };
}

function isWaiting({ waiting }: Group): boolean {
  return waiting.length > 0;
}

function getArrivals(now: number, { arrivals, arrivedAt }: Group): number {
  return arrivals * Math.exp((arrivedAt - now) / RATE_TIME_CONSTANT_MS);
}

function isRequestLate(now: number, expectedMs: number, { objectiveAt }: SlotRequest): boolean {
  return now + expectedMs + MARGIN_MS > objectiveAt;
}

/** Returns a negative number if `left` comes before `right` within an organisation. */
function compare(now: number, expectedMs: number, left: SlotRequest, right: SlotRequest): number {
  const getLateness = (request: SlotRequest) => (isRequestLate(now, expectedMs, request) ? 1 : 0);
  return (
    getLateness(left) - getLateness(right) ||
    left.urgency - right.urgency ||
    left.objectiveAt - right.objectiveAt
  );
}
