import type Upstream from '../upstream/Upstream';
import createUpstreamHealth from '../upstream/createUpstreamHealth';
import createFairQueue from './createFairQueue';
import createUpstreamSlots from './createUpstreamSlots';
import type SlotDecision from './SlotDecision';
import type SlotOutcome from './SlotOutcome';
import type SlotRequest from './SlotRequest';

/** Added cost of an upstream with a failure rate of 1, as a multiple of its cost. */
const FAILURE_COST_FACTOR = 6;
/** Added cost of an upstream in another data centre, as a part of the cost of the fastest one. */
const DISTANCE_COST = 0.1;
/** Part of the cost of an upstream that does not depend on how many of its slots are in use. */
const EMPTY_COST = 0.5;
/** More waiting requests than any deadline allows; bounds the memory if durations are unknown. */
const MAX_WAITING = 1000;
/** A shorter time to return would find the same queue. */
const MIN_RETRY_AFTER_MS = 20;

/** Used if no upstream is known to serve requests. */
const MAX_RETRY_AFTER_MS = 5000;

interface SlotAccountHost {
  /** Returns the ready upstreams of the service. */
  getUpstreams(now: number): readonly Upstream[];
  /** Returns how long a request is expected to take at an upstream. */
  getExpectedMs(now: number, upstream: string): number;
  /** Returns the failure rate that this VM knows otherwise: upstreams that turn VMs away are announced. */
  getFailureRate(now: number, upstream: string): number;
  /** Records how long a request took at an upstream. */
  recordDuration(now: number, upstream: string, ms: number): void;
  /** Returns the requests in flight at an upstream, from all VMs; some hundred milliseconds old. */
  getInFlight(now: number, upstream: string): number;
}

/**
 * Allocates the slots of all upstreams of one service to the requests of all VMs, when more of them
 * arrive at the same time than there are slots. Upstreams get no more requests than they have slots,
 * no slot is idle while a request waits that may use it, and a request that can't be served before its
 * deadline is refused at once.
 */
export default function createSlotAccount(host: SlotAccountHost, startedAt: number) {
  const queue = createFairQueue();
  const health = createUpstreamHealth();
  const slots = createUpstreamSlots(host, startedAt);
  /** Upstreams that were suspended and have not served a request since. */
  const onTrial = new Set<string>();

  /** Adds a request; `settle` decides about it. */
  function add(now: number, request: SlotRequest): void {
    queue.removeIdle(now);
    queue.add(now, request);
  }

  /** Grants free slots to waiting requests, and refuses those that can't be served in time. */
  function settle(now: number, isWholeQueueChecked = false): SlotDecision[] {
    const upstreams = host.getUpstreams(now);
    slots.retain(now, upstreams);
    const decisions: SlotDecision[] = [];
    const expectedMs = getMeanMs(now, upstreams);
    for (;;) {
      const free = getFree(now, upstreams);
      const next =
        free.length > 0 && queue.getCount() > 0
          ? queue.takeNext(now, expectedMs, ({ excluded }) =>
              free.some(({ id }) => !excluded.includes(id)),
            )
          : undefined;
      if (!next) {
        break;
      }
      const { id } = choose(now, next, free, upstreams);
      slots.hold(now, id, next);
      decisions.push({ request: next, kind: 'granted', upstream: id });
    }
    if (queue.getCount() > 0 && (isWholeQueueChecked || queue.getCount() > MAX_WAITING)) {
      decisions.push(...refuseUnservable(now, upstreams));
    }
    return decisions;
  }

  /** Returns the decision about a request that has just been added and waits. */
  function tryRefuse(now: number, request: SlotRequest): SlotDecision | undefined {
    const upstreams = host.getUpstreams(now);
    const position = queue.getPosition(now, getMeanMs(now, upstreams), request);
    const decision = decideWaiting(now, request, position, upstreams);
    if (decision) {
      queue.remove(request.vm, request.id);
    }
    return decision;
  }

  function refuseUnservable(now: number, upstreams: readonly Upstream[]): SlotDecision[] {
    const decisions = new Map<SlotRequest, SlotDecision>();
    queue.takeEnded(now, getMeanMs(now, upstreams), (request, position) => {
      const decision =
        position > MAX_WAITING
          ? refuse(request, getWaitMs(now, position, upstreams))
          : decideWaiting(now, request, position, upstreams);
      if (decision) {
        decisions.set(request, decision);
      }
      return decision !== undefined;
    });
    return [...decisions.values()];
  }

  function decideWaiting(
    now: number,
    request: SlotRequest,
    position: number,
    upstreams: readonly Upstream[],
  ): SlotDecision | undefined {
    if (upstreams.every(({ id }) => request.excluded.includes(id))) {
      return { request, kind: 'unknown' };
    }
    const waitMs = getWaitMs(now, position, upstreams);
    const meanMs = getMeanMs(now, upstreams);
    const latestMs = request.deadlineAt - now - meanMs;
    // Requests that arrive meanwhile come before one that is late.
    const lateWaitMs = queue.isLate(now, meanMs, request)
      ? position / queue.getLateRate(now, request.organisation, getSlotsPerMs(now, upstreams))
      : waitMs;
    const isServable = waitMs <= latestMs && lateWaitMs > 0 && lateWaitMs <= latestMs;
    return isServable ? undefined : refuse(request, waitMs);
  }

  function refuse(request: SlotRequest, waitMs: number): SlotDecision {
    const retryAfterMs = Math.min(
      MAX_RETRY_AFTER_MS,
      Math.max(MIN_RETRY_AFTER_MS, Math.round(waitMs)),
    );
    return { request, kind: 'refused', retryAfterMs };
  }

  /** Returns the time until the request at a position of the queue gets a slot. */
  function getWaitMs(now: number, position: number, upstreams: readonly Upstream[]): number {
    return position / Math.max(getSlotsPerMs(now, upstreams), Number.MIN_VALUE);
  }

  /** Returns how many slots become free in a millisecond while all are in use. */
  function getSlotsPerMs(now: number, upstreams: readonly Upstream[]): number {
    return upstreams.reduce(
      (sum, upstream) =>
        sum + slots.getCapacity(now, upstream) / host.getExpectedMs(now, upstream.id),
      0,
    );
  }

  /** Returns the expected duration of a request at an upstream that is chosen by chance. */
  function getMeanMs(now: number, upstreams: readonly Upstream[]): number {
    const sum = upstreams.reduce((total, { id }) => total + host.getExpectedMs(now, id), 0);
    return sum / Math.max(1, upstreams.length);
  }

  /**
   * Returns the upstreams with a free slot. One that was suspended gets a single request until it has
   * served one, unless all were: it would otherwise attract requests by failing them quickly.
   */
  function getFree(now: number, upstreams: readonly Upstream[]): Upstream[] {
    const available = upstreams.filter(({ id }) => !health.isSuspended(now, id));
    const isTrialBinding = upstreams.some(({ id }) => !onTrial.has(id));
    return (available.length > 0 ? available : upstreams).filter((upstream) => {
      const isSingle = isTrialBinding && onTrial.has(upstream.id);
      const limit = slots.getLimit(now, upstream);
      return slots.getBusy(now, upstream.id) < (isSingle ? Math.min(1, limit) : limit);
    });
  }

  function choose(
    now: number,
    request: SlotRequest,
    free: readonly Upstream[],
    upstreams: readonly Upstream[],
  ): Upstream {
    const fastestMs = Math.min(...upstreams.map(({ id }) => host.getExpectedMs(now, id)));
    const getCost = ({ id, dataCentre, slots: count }: Upstream) =>
      (host.getExpectedMs(now, id) / fastestMs) *
        (1 + FAILURE_COST_FACTOR * getFailureRate(now, id)) *
        (EMPTY_COST + (1 - EMPTY_COST) * ((slots.getBusy(now, id) + 1) / count)) +
      (dataCentre === request.dataCentre ? 0 : DISTANCE_COST);
    return free
      .filter(({ id }) => !request.excluded.includes(id))
      .reduce((best, upstream) => (getCost(upstream) < getCost(best) ? upstream : best));
  }

  function getFailureRate(now: number, upstream: string): number {
    return Math.max(health.getFailureRate(now, upstream), host.getFailureRate(now, upstream));
  }

  /** Ends the use of a slot, or the wait for one. */
  function end(now: number, vm: string, id: number, outcome: SlotOutcome, ms: number): void {
    const upstream = slots.release(now, vm, id, outcome);
    if (upstream === undefined) {
      queue.remove(vm, id);
      return;
    }
    if (outcome === 'done') {
      host.recordDuration(now, upstream, ms);
      health.recordSuccess(now, upstream, ms);
      onTrial.delete(upstream);
    } else if (['failed', 'lost', 'unreachable'].includes(outcome)) {
      if (health.recordFailure(now, upstream)) {
        onTrial.add(upstream);
      }
    }
  }

  return {
    add,
    settle,
    tryRefuse,
    end,
    reconcile: slots.reconcile,
    releaseAll: slots.releaseAll,
    beginTakeover: slots.beginTakeover,
    getHolders: slots.getHolders,
    getWaiting: queue.getAll,
    getWaitMs: (now: number, request: SlotRequest) => {
      const upstreams = host.getUpstreams(now);
      const position = queue.getPosition(now, getMeanMs(now, upstreams), request);
      return getWaitMs(now, position, upstreams);
    },
    /** Returns what decides about requests, for the log. */
    getState: (now: number) => {
      const upstreams = host.getUpstreams(now);
      return {
        waiting: queue.getCount(),
        busy: upstreams.reduce((sum, { id }) => sum + slots.getBusy(now, id), 0),
        slots: upstreams.reduce((sum, upstream) => sum + slots.getLimit(now, upstream), 0),
        expectedMs: Math.round(getMeanMs(now, upstreams)),
      };
    },
  };
}
