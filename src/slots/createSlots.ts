import type Log from '../events/Log';
import type Message from '../mesh/Message';
import type Clock from '../shared/Clock';
import type createSlotIssuer from './createSlotIssuer';
import type createSlotIssuers from './createSlotIssuers';
import type SlotOutcome from './SlotOutcome';

/** A round trip takes 1 to 10 ms, more if the event loop of the issuer is held up. */
const REPLY_TIMEOUT_MS = 80;
/** VMs that are asked for one request: with two that do not reply, it is still in time. */
const MAX_ISSUERS = 2;
/** The issuer repeats that a request waits more often than this. */
const QUEUED_TIMEOUT_MS = 400;
/** Time in which a VM learns whether those do not reply for which it is to stand in. */
const CONFIRM_MS = REPLY_TIMEOUT_MS + 5;
const CONFIRM_INTERVAL_MS = 200;
/** Numbers of requests start at random, so that those of a former process of this VM differ. */
const MAX_FIRST_ID = 2 ** 30;

type Wanted = Extract<Message, { kind: 'slotWanted' }>;
type Ended = Extract<Message, { kind: 'slotEnded' }>;
type Reply = Omit<Extract<Message, { kind: 'slot' }>, 'kind' | 'id'>;

/** Ends the use of a slot that was granted, or of an upstream that this VM has chosen itself. */
type EndUse = (outcome: SlotOutcome) => void;

/** `self`: this VM chooses the upstream itself. */
type TakenSlot =
  | { kind: 'granted'; upstream: string; end: EndUse }
  | { kind: 'refused'; retryAfterMs: number }
  | { kind: 'self' };

interface SlotsHost extends Clock {
  /** Returns whether the message was queued for sending. */
  send(to: string, message: Message): boolean;
  /** Returns a number from 0 to 1. */
  random(): number;
  countSlot(outcome: 'granted' | 'refused' | 'noIssuer' | 'silent'): void;
  log: Log;
}

interface Use {
  service: string;
  /** VM that granted the slot; undefined if this VM has chosen the upstream itself. */
  issuer: string | undefined;
  upstream: string;
}

/**
 * Takes a slot for each request to a service that has few slots for many VMs, from the VM that issues
 * them. While that VM does not reply, this one chooses upstreams itself and does not wait for it.
 */
export default function createSlots(
  host: SlotsHost,
  parts: {
    issuer: ReturnType<typeof createSlotIssuer>;
    issuers: ReturnType<typeof createSlotIssuers>;
  },
  options: { address: string },
) {
  const waiting = new Map<number, { vm: string; end: (reply: Reply) => void }>();
  const uses = new Map<number, Use>();
  const confirmedAt = new Map<string, number>();
  /** Ends that are sent with the next message to the issuer, at the latest when the timer fires. */
  const unsentEnds = new Map<string, { service: string; ended: NonNullable<Ended['ended']> }>();
  /** Issuers that were told of uses that they have not granted. */
  const toldOthers = new Set<string>();
  let lastId: number | undefined;

  function createId(): number {
    lastId = (lastId ?? Math.floor(host.random() * MAX_FIRST_ID)) + 1;
    return lastId;
  }

  /** Takes a slot for a request; `onWait` gets a function that ends the wait. */
  async function take(
    service: string,
    wanted: Pick<Wanted, 'urgency' | 'onTimeMs' | 'waitMs' | 'organisation' | 'excluded'>,
    onWait: (cancel: () => void) => void,
  ): Promise<TakenSlot> {
    const startedAt = host.now();
    let isTried = false;
    for (let count = 0; count < MAX_ISSUERS; count += 1) {
      const spentMs = host.now() - startedAt;
      const issuer = parts.issuers.tryGetIssuer(host.now(), service);
      if (issuer === undefined || spentMs >= wanted.waitMs) {
        break;
      }
      isTried = true;
      const id = createId();
      const { onTimeMs, waitMs } = wanted;
      const left = { ...wanted, onTimeMs: onTimeMs - spentMs, waitMs: waitMs - spentMs };
      const reply = await want(issuer, { kind: 'slotWanted', service, id, ...left }, onWait);
      if (reply === 'ended') {
        break;
      }
      if (reply?.upstream) {
        host.countSlot('granted');
        const { upstream } = reply;
        return { kind: 'granted', upstream, end: beginUse({ service, issuer, upstream }, id) };
      }
      if (reply?.retryAfterMs !== undefined) {
        host.countSlot('refused');
        return { kind: 'refused', retryAfterMs: reply.retryAfterMs };
      }
      if (reply?.upstream === '') {
        break;
      }
    }
    host.countSlot(isTried ? 'silent' : 'noIssuer');
    return { kind: 'self' };
  }

  /** Requests a slot; returns undefined if the issuer does not reply, `ended` if the wait was ended. */
  function want(
    issuer: string,
    wanted: Wanted,
    onWait: (cancel: () => void) => void,
  ): Promise<Reply | 'ended' | undefined> {
    const { id, service, waitMs } = wanted;
    const deadlineAt = host.now() + waitMs;
    return new Promise((resolve) => {
      let cancelTimer = () => {};
      const end = (reply: Reply | 'ended' | undefined) => {
        cancelTimer();
        waiting.delete(id);
        onWait(() => {});
        resolve(reply);
      };
      const giveUp = (isSilent: boolean) => {
        if (isSilent) {
          recordSilence(issuer, service);
        }
        end(isSilent ? undefined : 'ended');
        endAt(issuer, service, [id, 'unsent', 0]);
      };
      const restartTimer = (timeoutMs: number) => {
        cancelTimer();
        const leftMs = Math.max(0, deadlineAt - host.now());
        cancelTimer = host.setTimer(Math.min(leftMs, timeoutMs), () => giveUp(timeoutMs < leftMs));
      };
      waiting.set(id, {
        vm: issuer,
        end: (reply) => (reply.waitMs === undefined ? end(reply) : restartTimer(QUEUED_TIMEOUT_MS)),
      });
      onWait(() => giveUp(false));
      restartTimer(REPLY_TIMEOUT_MS);
      const isSent = deliver(issuer, { ...wanted, ...takeUse(issuer, service) });
      if (!isSent) {
        giveUp(true);
      }
    });
  }

  function recordSilence(vm: string, service: string): void {
    if (vm === options.address) {
      return;
    }
    if (!parts.issuers.isSilent(vm)) {
      host.log('slotIssuerSilent', { vm, service, waiting: waiting.size });
    }
    parts.issuers.recordSilence(host.now(), vm);
  }

  /** Sends a request that is answered at once, to learn whether a VM replies. */
  function probe(vm: string, service: string): void {
    const id = createId();
    host.send(vm, { kind: 'slotWanted', service, id, urgency: 0, onTimeMs: 0, waitMs: 0 });
    const cancel = host.setTimer(REPLY_TIMEOUT_MS, () => {
      waiting.delete(id);
      recordSilence(vm, service);
    });
    const end = () => {
      cancel();
      waiting.delete(id);
    };
    waiting.set(id, { vm, end });
  }

  /**
   * Handles another VM's request for a slot. If that VM prefers others as issuers, they may not have
   * replied to it: this VM asks them itself, and answers once it knows whether it stands in for them.
   */
  function handleRequest(from: string, wanted: Wanted): void {
    const now = host.now();
    const { service, id, waitMs } = wanted;
    const preferred = parts.issuers
      .getPreferred(now, service, options.address)
      .filter((vm) => !parts.issuers.isSilent(vm));
    if (waitMs <= CONFIRM_MS || preferred.length === 0) {
      parts.issuer.handleRequest(from, wanted);
      return;
    }
    preferred
      .filter((vm) => now - (confirmedAt.get(vm) ?? -Infinity) >= CONFIRM_INTERVAL_MS)
      .forEach((vm) => {
        confirmedAt.set(vm, now);
        probe(vm, service);
      });
    host.send(from, { kind: 'slot', id, waitMs: CONFIRM_MS });
    host.setTimer(CONFIRM_MS, () => {
      const { onTimeMs } = wanted;
      parts.issuer.handleRequest(from, {
        ...wanted,
        onTimeMs: onTimeMs - CONFIRM_MS,
        waitMs: waitMs - CONFIRM_MS,
      });
    });
  }

  /** Records a use and returns the function that ends it; further calls do nothing. */
  function beginUse(use: Use, id: number): EndUse {
    const beganAt = host.now();
    uses.set(id, use);
    return (outcome) => {
      if (!uses.delete(id)) {
        return;
      }
      const { issuer, service } = use;
      if (issuer !== undefined) {
        endAt(issuer, service, [id, outcome, Math.round(host.now() - beganAt)]);
      }
      const current = parts.issuers.tryGetIssuer(host.now(), service);
      if (current !== undefined && current !== issuer && toldOthers.has(current)) {
        deliver(current, { kind: 'slotEnded', service, ...takeUse(current, service) });
      }
    };
  }

  /** Reports an end, together with the next request if that follows at once. */
  function endAt(issuer: string, service: string, ended: [number, SlotOutcome, number]): void {
    const key = `${issuer} ${service}`;
    const unsent = unsentEnds.get(key);
    if (unsent) {
      unsent.ended.push(ended);
      return;
    }
    unsentEnds.set(key, { service, ended: [ended] });
    host.setTimer(0, () => {
      if (unsentEnds.has(key)) {
        deliver(issuer, { kind: 'slotEnded', service, ...takeUse(issuer, service) });
      }
    });
  }

  /** Returns what this VM states to the issuer of a service with each message. */
  function takeUse(issuer: string, service: string): Pick<Ended, 'held' | 'others' | 'ended'> {
    const key = `${issuer} ${service}`;
    const ended = unsentEnds.get(key)?.ended;
    unsentEnds.delete(key);
    const own = [...uses.values()].filter((use) => use.service === service);
    const held = own.filter((use) => use.issuer === issuer).length;
    const counts = new Map<string, number>();
    own
      .filter((use) => use.issuer !== issuer)
      .forEach(({ upstream }) => counts.set(upstream, (counts.get(upstream) ?? 0) + 1));
    if (counts.size > 0) {
      toldOthers.add(issuer);
    } else {
      toldOthers.delete(issuer);
    }
    return {
      ...(held > 0 && { held }),
      ...(counts.size > 0 && { others: [...counts] }),
      ...(ended && { ended }),
    };
  }

  /** Sends a message to the issuer, which may be this VM. */
  function deliver(issuer: string, message: Wanted | Ended): boolean {
    if (issuer !== options.address) {
      return host.send(issuer, message);
    }
    if (message.kind === 'slotWanted') {
      parts.issuer.handleRequest(issuer, message);
    } else {
      parts.issuer.handleEnd(issuer, message);
    }
    return true;
  }

  /**
   * Handles the reply to a wanted slot, or one that concerns all requests that wait for a VM. A slot that
   * comes too late was given back when the wait ended.
   */
  function handleReply(from: string, { id, ...reply }: { id?: number } & Reply): void {
    if (Object.values(reply).some((value) => value !== undefined)) {
      parts.issuers.recordReply(from);
    } else if (from !== options.address) {
      // It issues none, or not yet; it is asked again as if it had not replied.
      parts.issuers.recordSilence(host.now(), from);
    }
    if (id !== undefined) {
      const found = waiting.get(id);
      found?.end(reply);
      return;
    }
    waiting.forEach(({ vm, end }) => {
      if (vm === from) {
        end(reply);
      }
    });
  }

  /** Asks silent VMs again, and refreshes what this VM issues; called at regular intervals. */
  function refresh(now: number): void {
    parts.issuers.takeDueProbes(now).forEach(({ vm, service }) => probe(vm, service));
    parts.issuer.refresh(now);
  }

  return {
    take,
    /** Counts a request to an upstream that this VM has chosen itself. */
    beginOwnUse: (service: string, upstream: string) =>
      beginUse({ service, issuer: undefined, upstream }, createId()),
    handleReply,
    handleRequest,
    handleEnd: parts.issuer.handleEnd,
    refresh,
  };
}
