import { match } from 'ts-pattern';
import type Log from '../events/Log';
import type Message from '../mesh/Message';
import type Clock from '../shared/Clock';
import type Upstream from '../upstream/Upstream';
import createSlotAccount from './createSlotAccount';
import type SlotDecision from './SlotDecision';
import type SlotRequest from './SlotRequest';

/** Interval at which waiting requests are examined: leases, pauses and suspensions end by time. */
const CHECK_MS = 10;
/** The whole queue is sorted and examined for requests that can't be served less often. */
const QUEUE_CHECK_MS = 50;
/** VMs with waiting requests are told again that they wait, so that they know that the issuer lives. */
const REPEAT_MS = 180;
/** An issuer that was not refreshed for this long was paused; VMs went on without it. */
const PAUSED_MS = 1000;
const LOG_INTERVAL_MS = 1000;
/** Bounds of what other VMs state. */
const MAX_WAIT_MS = 3_600_000;
const MAX_NAME_LENGTH = 256;

type Wanted = Extract<Message, { kind: 'slotWanted' }>;
type Ended = Extract<Message, { kind: 'slotEnded' }>;
type Account = ReturnType<typeof createSlotAccount>;

interface SlotIssuerHost extends Clock {
  /** Returns whether this VM issues the slots of a service. */
  isIssuer(now: number, service: string): boolean;
  /** Returns the upstreams of a service that are ready for new requests. */
  getUpstreams(now: number, service: string): readonly Upstream[];
  /** Returns how long a request is expected to take at an upstream. */
  getExpectedMs(now: number, upstream: string): number;
  /** Returns the failure rate of an upstream that this VM knows, from 0 to 1. */
  getFailureRate(now: number, upstream: string): number;
  recordDuration(now: number, upstream: string, ms: number): void;
  /** Returns the requests in flight at an upstream, from all VMs; some hundred milliseconds old. */
  getInFlight(now: number, upstream: string): number;
  getDataCentre(vm: string): string;
  isAlive(now: number, vm: string): boolean;
  /** Sends a message to a VM, which may be this one. */
  sendOrDeliver(to: string, message: Message): boolean;
  log: Log;
}

interface IssuedService {
  account: Account;
  refreshedAt: number;
  loggedAt: number;
  isChecking: boolean;
  queueCheckedAt: number;
  /** When the VMs with waiting requests were told last that they wait. */
  toldAt: number;
}

/** Issues the slots of the services that this VM was chosen for; see `createSlotAccount`. */
export default function createSlotIssuer(host: SlotIssuerHost) {
  const services = new Map<string, IssuedService>();

  function getService(now: number, service: string): IssuedService {
    const known = services.get(service);
    if (known) {
      recordRun(now, known);
      return known;
    }
    const account = createSlotAccount(
      { ...host, getUpstreams: (at) => host.getUpstreams(at, service) },
      now,
    );
    const created: IssuedService = {
      account,
      refreshedAt: now,
      loggedAt: -Infinity,
      isChecking: false,
      queueCheckedAt: now,
      toldAt: now,
    };
    services.set(service, created);
    host.log('slotsTaken', { service, ...account.getState(now) });
    return created;
  }

  /** Lets an account of before a pause count again what VMs report. */
  function recordRun(now: number, service: IssuedService): void {
    if (now - service.refreshedAt > PAUSED_MS) {
      service.account.beginTakeover(now);
    }
    Object.assign(service, { refreshedAt: now });
  }

  /** Handles a VM's request for a slot. */
  function handleRequest(from: string, wanted: Wanted): void {
    const now = host.now();
    const { id, service: name } = wanted;
    const isIssuer = host.isIssuer(now, name) && host.getUpstreams(now, name).length > 0;
    if (!isIssuer || wanted.waitMs <= 0) {
      applyUse(now, from, wanted);
      host.sendOrDeliver(from, { kind: 'slot', id, ...(isIssuer && { waitMs: 0 }) });
      return;
    }
    const service = getService(now, name);
    const { account } = service;
    applyUse(now, from, wanted);
    const request: SlotRequest = {
      vm: from,
      id,
      organisation: wanted.organisation?.slice(0, MAX_NAME_LENGTH),
      urgency: wanted.urgency,
      objectiveAt: now + toMs(wanted.onTimeMs),
      deadlineAt: now + Math.max(0, toMs(wanted.waitMs)),
      dataCentre: host.getDataCentre(from),
      excluded: wanted.excluded ?? [],
    };
    account.add(now, request);
    const decisions = account.settle(now);
    apply(now, name, service, decisions);
    if (decisions.some((decision) => decision.request === request)) {
      return;
    }
    const refusal = account.tryRefuse(now, request);
    if (refusal) {
      apply(now, name, service, [refusal]);
    } else {
      tellWaiting(now, service, request);
      startChecks(name, service);
    }
  }

  function handleEnd(from: string, ended: Ended): void {
    applyUse(host.now(), from, ended);
    settle(ended.service);
  }

  /** Applies what a VM states about its use of a service. */
  function applyUse(now: number, from: string, stated: Wanted | Ended): void {
    const account = services.get(stated.service)?.account;
    stated.ended?.forEach(([id, outcome, ms]) =>
      account?.end(now, from, id, outcome, Math.max(0, toMs(ms))),
    );
    account?.reconcile(now, from, toCount(stated.held), toCounts(stated.others));
  }

  function settle(name: string, isWholeQueueChecked = false): void {
    const service = services.get(name);
    if (service) {
      const now = host.now();
      apply(now, name, service, service.account.settle(now, isWholeQueueChecked));
    }
  }

  function apply(
    now: number,
    name: string,
    service: IssuedService,
    decisions: readonly SlotDecision[],
  ): void {
    decisions.forEach((decision) => {
      const { vm, id } = decision.request;
      const reply = match(decision)
        .with({ kind: 'granted' }, ({ upstream }) => ({ upstream }))
        .with({ kind: 'refused' }, ({ retryAfterMs }) => ({ retryAfterMs }))
        .with({ kind: 'unknown' }, () => ({ upstream: '' }))
        .exhaustive();
      host.sendOrDeliver(vm, { kind: 'slot', id, ...reply });
      if (decision.kind === 'refused' && now - service.loggedAt >= LOG_INTERVAL_MS) {
        Object.assign(service, { loggedAt: now });
        host.log('slotRefused', {
          service: name,
          vm,
          id,
          organisation: decision.request.organisation,
          leftMs: Math.round(decision.request.deadlineAt - now),
          retryAfterMs: decision.retryAfterMs,
          ...service.account.getState(now),
        });
      }
    });
  }

  function tellWaiting(now: number, service: IssuedService, request: SlotRequest): void {
    const waitMs = Math.round(service.account.getWaitMs(now, request));
    host.sendOrDeliver(request.vm, { kind: 'slot', id: request.id, waitMs });
  }

  /** Examines the waiting requests at short intervals until there are none. */
  function startChecks(name: string, service: IssuedService): void {
    if (service.isChecking) {
      return;
    }
    Object.assign(service, { isChecking: true });
    const check = () => {
      if (services.get(name) !== service) {
        return;
      }
      const now = host.now();
      const isQueueDue = now - service.queueCheckedAt >= QUEUE_CHECK_MS;
      if (isQueueDue) {
        Object.assign(service, { queueCheckedAt: now });
      }
      settle(name, isQueueDue);
      const waiting = service.account.getWaiting();
      if (waiting.length === 0) {
        Object.assign(service, { isChecking: false });
        return;
      }
      if (now - service.toldAt >= REPEAT_MS) {
        Object.assign(service, { toldAt: now });
        new Set(waiting.map(({ vm }) => vm)).forEach((vm) =>
          host.sendOrDeliver(vm, { kind: 'slot', waitMs: 0 }),
        );
      }
      host.setTimer(CHECK_MS, check);
    };
    host.setTimer(CHECK_MS, check);
  }

  /** Ends the slots of VMs that are gone, and gives up services; called at regular intervals. */
  function refresh(now: number): void {
    services.forEach((service, name) => {
      const { account } = service;
      if (!host.isIssuer(now, name)) {
        account.getWaiting().forEach(({ vm, id }) => host.sendOrDeliver(vm, { kind: 'slot', id }));
        services.delete(name);
        host.log('slotsGivenUp', { service: name, ...account.getState(now) });
        return;
      }
      recordRun(now, service);
      [...account.getHolders()]
        .filter((vm) => !host.isAlive(now, vm))
        .forEach((vm) => account.releaseAll(vm));
      settle(name);
    });
  }

  return { handleRequest, handleEnd, refresh };
}

/** Returns a stated duration within bounds; one that is no number counts as 0. */
function toMs(stated: number): number {
  return Number.isFinite(stated) ? Math.max(-MAX_WAIT_MS, Math.min(MAX_WAIT_MS, stated)) : 0;
}

/** Returns a stated number of grants; one that is no count corrects nothing. */
function toCount(stated = 0): number | undefined {
  return Number.isInteger(stated) && stated >= 0 ? stated : undefined;
}

/** Returns the stated counts that are counts. */
function toCounts(stated: Ended['others'] = []): [string, number][] {
  return stated.filter(([, count]) => Number.isInteger(count) && count > 0);
}
