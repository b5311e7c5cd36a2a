import type ActiveRequest from '../gateway/ActiveRequest';
import type AttemptOutcome from '../gateway/AttemptOutcome';
import type Placement from '../gateway/Placement';
import type Refusal from '../gateway/Refusal';
import type Manifest from '../manifest/Manifest';
import type Organisation from '../manifest/Organisation';
import type Clock from '../shared/Clock';
import createCached from '../shared/createCached';
import type Result from '../shared/Result';
import type Candidate from '../upstream/Candidate';
import type Upstream from '../upstream/Upstream';
import getSlotOutcome from './getSlotOutcome';
import type Slots from './Slots';

/** Slots of a service for each VM below which VMs that choose for themselves collide. */
const MAX_SLOTS_PER_VM = 1;
/** With fewer VMs, their usage reports are enough to choose upstreams. */
const MIN_VMS = 12;
const CACHE_MS = 250;
/** The deadline passed while the request waited; the queue is not known. */
const DEADLINE_RETRY_AFTER_MS = 300;

interface SlotPlacementHost extends Clock {
  getManifest(): Manifest | undefined;
  /** Returns the upstreams of a service that are ready for new requests. */
  getUpstreams(now: number, service: string): readonly Upstream[];
  tryGetUpstream(id: string): Upstream | undefined;
  /** Returns whether places are taken at an upstream instead. */
  isPlaceNeeded(now: number, upstream: Upstream): boolean;
  /** Returns whether an upstream wants no requests of this VM for some time, which the issuer can't know. */
  isResting(now: number, upstream: Upstream): boolean;
  /** Returns whether the upstreams of a service respond without a load; they are chosen as before. */
  isLoadUnstated(service: string): boolean;
  /** Returns the number of VMs. */
  getVmCount(now: number): number;
  /** Returns the upstreams at which a request may be sent now. */
  getPlainCandidates(
    now: number,
    request: ActiveRequest,
    excludedUpstreams: ReadonlySet<string>,
  ): Candidate[];
  /** Chooses an upstream as for services with many slots. */
  place(
    request: ActiveRequest,
    excludedUpstreams: ReadonlySet<string>,
    isImmediate: boolean,
  ): Promise<Result<Placement, Refusal>>;
  attempt(request: ActiveRequest, placement: Placement, isLast: boolean): Promise<AttemptOutcome>;
}

/**
 * Places requests to services with few slots for many VMs by slots that one VM issues, and all others
 * as `host.place` does.
 */
export default function createSlotPlacement(host: SlotPlacementHost, slots: Slots) {
  const neededServices = new Map<string, (now: number) => boolean>();

  /** Returns whether slots of a service are issued. */
  function isNeeded(now: number, service: string): boolean {
    if (host.getManifest()?.services.get(service)?.engine !== undefined) {
      return false;
    }
    const known =
      neededServices.get(service) ??
      createCached(CACHE_MS, (at: number) => {
        const vmCount = host.getVmCount(at);
        const upstreams = host.getUpstreams(at, service);
        const slotCount = upstreams.reduce((sum, upstream) => sum + upstream.slots, 0);
        return vmCount >= MIN_VMS && slotCount < vmCount * MAX_SLOTS_PER_VM;
      });
    neededServices.set(service, known);
    return (
      known(now) &&
      !host.isLoadUnstated(service) &&
      !host
        .getUpstreams(now, service)
        .some((upstream) => host.isPlaceNeeded(now, upstream) || host.isResting(now, upstream))
    );
  }

  async function place(
    request: ActiveRequest,
    excludedUpstreams: ReadonlySet<string>,
    isImmediate: boolean,
  ): Promise<Result<Placement, Refusal>> {
    const now = host.now();
    const { service } = request;
    const candidates = isNeeded(now, service)
      ? host.getPlainCandidates(now, request, excludedUpstreams)
      : [];
    if (candidates.length === 0) {
      return host.place(request, excludedUpstreams, isImmediate);
    }
    const { organisation } = request as { organisation?: Organisation };
    const excluded = getExcluded(now, service, candidates);
    const taken = await slots.take(
      service,
      {
        urgency: organisation?.urgency ?? request.route.urgency,
        onTimeMs: Math.round(request.arrivedAt + request.route.latencyObjectiveMs - now),
        waitMs: Math.max(0, Math.round(request.deadlineAt - now)),
        ...(organisation && { organisation: organisation.name }),
        ...(excluded.length > 0 && { excluded }),
      },
      (cancel) => Object.assign(request, { abort: cancel }),
    );
    const isOver = request.isCallerGone || request.isStopped;
    if (taken.kind === 'granted') {
      const upstream = host.tryGetUpstream(taken.upstream);
      if (upstream && !isOver) {
        const endSlot = (outcome: AttemptOutcome) => taken.end(getSlotOutcome(outcome));
        const value = { upstream, version: undefined, inFlight: 0, endSlot };
        return { ok: true, value };
      }
      taken.end('unsent');
    }
    if (isOver || taken.kind === 'refused' || host.now() >= request.deadlineAt) {
      const retryAfterMs = taken.kind === 'refused' ? taken.retryAfterMs : DEADLINE_RETRY_AFTER_MS;
      return { ok: false, error: { kind: 'busy', retryAfterMs } };
    }
    return placeAlone(request, excludedUpstreams, isImmediate);
  }

  /** Chooses an upstream without a slot; the issuer learns of it with the next message. */
  async function placeAlone(
    request: ActiveRequest,
    excludedUpstreams: ReadonlySet<string>,
    isImmediate: boolean,
  ): Promise<Result<Placement, Refusal>> {
    const placed = await host.place(request, excludedUpstreams, isImmediate);
    if (!placed.ok) {
      return placed;
    }
    const end = slots.beginOwnUse(request.service, placed.value.upstream.id);
    const endSlot = (outcome: AttemptOutcome) => end(getSlotOutcome(outcome));
    return { ok: true, value: { ...placed.value, endSlot } };
  }

  /** Returns the upstreams that the request must not use: also those that this VM avoids, if others are left. */
  function getExcluded(now: number, service: string, candidates: readonly Candidate[]): string[] {
    const sound = candidates.filter(({ isSuspended }) => !isSuspended);
    const usable = new Set((sound.length > 0 ? sound : candidates).map(({ id }) => id));
    return host
      .getUpstreams(now, service)
      .map(({ id }) => id)
      .filter((id) => !usable.has(id));
  }

  async function attempt(
    request: ActiveRequest,
    placement: Placement,
    isLast: boolean,
  ): Promise<AttemptOutcome> {
    if (!placement.endSlot) {
      return host.attempt(request, placement, isLast);
    }
    let outcome: AttemptOutcome = { kind: 'lost', reason: 'unexpected' };
    try {
      outcome = await host.attempt(request, placement, isLast);
      return outcome;
    } finally {
      placement.endSlot(outcome);
    }
  }

  return { place, attempt };
}
