import { expect } from 'chai';
import createRandom from '../../bench/createRandom';
import type StatedLimit from '../../src/gateway/StatedLimit';
import createRateLimiting from '../../src/rateLimits/createRateLimiting';
import type Message from '../../src/mesh/Message';
import createVirtualClock from '../scenario/createVirtualClock';

const VM_COUNT = 300;
const LINK_DELAY_MS = 20;
const RESPONSE_MS = 50;
const CONTACT_MS = 3000;
const WINDOW_MS = 4000;
const MEASURED_MS = 20_000;
const UPSTREAM = { id: 'u', startedAt: 1 };
const NO_LIMIT: StatedLimit = { kind: 'none' };

describe('rate limiting', () => {
  [0.2, 1.8, 40].forEach((perSecond) => {
    it(`lets ${VM_COUNT} VMs use a limit of ${perSecond} a second, and not more`, async () => {
      const fleet = createFleet(VM_COUNT);
      fleet.observe(0, { kind: 'stated', perSecond });
      fleet.sendRequests(300, CONTACT_MS + MEASURED_MS);
      await fleet.clock.advance(CONTACT_MS);
      const from = fleet.clock.now();
      fleet.sentMessages.clear();
      await fleet.clock.advance(MEASURED_MS);
      const sent = fleet.sentAt.filter((at) => at >= from);
      expect(sent.length).to.be.at.least(Math.floor((0.75 * perSecond * MEASURED_MS) / 1000));
      expect(getMostInWindow(sent)).to.be.at.most(6 * perSecond + 5);
    });

    it(`sends bounded messages for a limit of ${perSecond} a second`, async () => {
      const fleet = createFleet(VM_COUNT);
      fleet.observe(0, { kind: 'stated', perSecond });
      fleet.sendRequests(3000, CONTACT_MS + MEASURED_MS);
      await fleet.clock.advance(CONTACT_MS);
      fleet.sentMessages.clear();
      await fleet.clock.advance(MEASURED_MS);
      const wanted = (fleet.sentMessages.get('permitWanted') ?? 0) / (MEASURED_MS / 1000);
      expect(wanted).to.be.at.most(VM_COUNT + 4 * perSecond);
    });
  });

  it('keeps a limit while VMs disagree for a second on which of them issues permits', async () => {
    const fleet = createFleet(61);
    fleet.observe(0, { kind: 'stated', perSecond: 10 });
    fleet.sendRequests(300, 20_000);
    await fleet.clock.advance(CONTACT_MS);
    const from = fleet.clock.now();
    for (let round = 0; round < 3; round += 1) {
      await fleet.clock.advance(4000);
      const issuer = fleet.getIssuer();
      fleet.hideFrom(issuer, (vm) => vm % 2 === 0);
      await fleet.clock.advance(1000);
      fleet.hideFrom(issuer, () => false);
    }
    expect(getMostInWindow(fleet.sentAt.filter((at) => at >= from))).to.be.at.most(65);
  });

  it('sends nothing to a limited upstream while no VM issues permits', async () => {
    const fleet = createFleet(8);
    fleet.observe(0, { kind: 'stated', perSecond: 5 });
    fleet.setSettled([]);
    await fleet.clock.advance(CONTACT_MS);
    const from = fleet.clock.now();
    fleet.sendRequests(50, 5000);
    await fleet.clock.advance(5000);
    expect(fleet.sentAt.filter((at) => at >= from)).to.deep.equal([]);
  });

  it('does not raise a limit for a late response with an older one', async () => {
    const fleet = createFleet(3);
    fleet.observe(0, { kind: 'stated', perSecond: 2 }, 0);
    await fleet.clock.advance(1000);
    // Sent before the limit was stated, received after it.
    fleet.observe(1, { kind: 'stated', perSecond: 9 }, 1200);
    fleet.observe(2, NO_LIMIT, 1200);
    await fleet.clock.advance(100);
    expect(fleet.getLimits()).to.deep.equal([2, 2, 2]);
    fleet.observe(1, { kind: 'stated', perSecond: 9 }, 500);
    await fleet.clock.advance(100);
    expect(fleet.getLimits()).to.deep.equal([9, 9, 9]);
  });

  it('keeps the lower one of two limits whose order is unknown', async () => {
    const fleet = createFleet(2);
    fleet.observe(0, { kind: 'stated', perSecond: 2 }, 300);
    fleet.observe(1, { kind: 'stated', perSecond: 5 }, 300);
    await fleet.clock.advance(100);
    expect(fleet.getLimits()).to.deep.equal([2, 2]);
  });

  it('keeps a limit when a response states one that cannot be read', async () => {
    const fleet = createFleet(2);
    fleet.observe(0, { kind: 'stated', perSecond: 2 });
    await fleet.clock.advance(100);
    fleet.observe(1, { kind: 'unreadable', text: 'few' });
    await fleet.clock.advance(100);
    expect(fleet.getLimits()).to.deep.equal([2, 2]);
  });

  it('ends a limit on all VMs with a success, not with a failure that states none', async () => {
    const fleet = createFleet(3);
    fleet.observe(0, { kind: 'stated', perSecond: 2 });
    await fleet.clock.advance(1000);
    fleet.observe(1, NO_LIMIT, 50, 503);
    await fleet.clock.advance(100);
    expect(fleet.getLimits()).to.deep.equal([2, 2, 2]);
    fleet.observe(1, NO_LIMIT, 50);
    await fleet.clock.advance(100);
    expect(fleet.getLimits()).to.deep.equal([undefined, undefined, undefined]);
  });

  it('tells a VM that missed the end of a limit, when it wants a permit', async () => {
    const fleet = createFleet(8);
    fleet.observe(0, { kind: 'stated', perSecond: 2 });
    await fleet.clock.advance(1000);
    const late = fleet.getIssuer() === 7 ? 6 : 7;
    fleet.setDeaf(late, true);
    fleet.observe(0, NO_LIMIT, 50);
    await fleet.clock.advance(60_000);
    fleet.setDeaf(late, false);
    const isSent = fleet.sendRequest(late);
    await fleet.clock.advance(200);
    expect(await isSent).to.equal(true);
    expect(fleet.getLimits()[late]).to.equal(undefined);
  });
});

function getMostInWindow(times: readonly number[]): number {
  const counts = times.map(
    (from) => times.filter((at) => at >= from && at < from + WINDOW_MS).length,
  );
  return Math.max(0, ...counts);
}

/** Creates the rate limiting of many VMs on links with a delay; membership is given. */
function createFleet(count: number) {
  const clock = createVirtualClock();
  const random = createRandom(1);
  const names = Array.from({ length: count }, (_, index) => `vm${index}`);
  const sentMessages = new Map<string, number>();
  const sentAt: number[] = [];
  const deaf = new Set<string>();
  const hidden = new Map<string, string>();
  let settled = names;

  const vms = names.map((name) => {
    const send = (to: string, message: Message) => {
      sentMessages.set(message.kind, (sentMessages.get(message.kind) ?? 0) + 1);
      if (!deaf.has(to)) {
        clock.setTimer(LINK_DELAY_MS, () => receive(to, name, message));
      }
      return true;
    };
    const rateLimiting = createRateLimiting(
      {
        now: clock.now,
        setTimer: clock.setTimer,
        members: { getSettled: () => settled.filter((vm) => vm !== hidden.get(name)) },
        isRegistered: () => true,
        broadcast: (message) =>
          names.filter((to) => to !== name).forEach((to) => send(to, message)),
        send,
        random,
        setLimitCount: () => {},
        countPermit: () => {},
        log: () => {},
      },
      { address: name, incarnation: name },
    );
    return rateLimiting;
  });

  function receive(to: string, from: string, message: Message): void {
    const vm = vms[names.indexOf(to)];
    if (message.kind === 'upstreamLimits') {
      vm.receive(clock.now(), message.statements);
    } else if (message.kind === 'permitWanted') {
      vm.handleRequest(from, message);
    } else if (message.kind === 'permit') {
      vm.handleReply(message.id, message);
    }
  }

  function refresh(): void {
    vms.forEach((vm) => vm.refresh(clock.now()));
    clock.setTimer(250, refresh);
  }
  refresh();

  async function sendRequest(vm: number): Promise<boolean> {
    const rateLimiting = vms[vm];
    if (rateLimiting.isClosed(clock.now(), UPSTREAM) || !(await rateLimiting.acquire(UPSTREAM))) {
      return false;
    }
    sentAt.push(clock.now());
    return true;
  }

  return {
    clock,
    sentMessages,
    sentAt,
    sendRequest,
    /** Sends requests by way of random VMs, at random times. */
    sendRequests: (perSecond: number, durationMs: number) =>
      Array.from({ length: (perSecond * durationMs) / 1000 }, () =>
        clock.setTimer(random() * durationMs, () => sendRequest(Math.floor(random() * count))),
      ),
    observe: (vm: number, limit: StatedLimit, lastedMs = RESPONSE_MS, status = 200) =>
      vms[vm].observe(clock.now(), UPSTREAM, { status, limit }, clock.now() - lastedMs),
    getLimits: () => vms.map((vm) => vm.tryGet(UPSTREAM)),
    /** Returns the VM that issues permits by its own view. */
    getIssuer: () => vms.findIndex((vm) => vm.isIssuer(clock.now(), UPSTREAM.id)),
    setSettled: (vmNames: string[]) => {
      settled = vmNames;
    },
    /** Hides a VM from the membership of those others that `isHidden` selects. */
    hideFrom: (vm: number, isHidden: (other: number) => boolean) =>
      names.forEach((name, index) =>
        index !== vm && isHidden(index) ? hidden.set(name, names[vm]) : hidden.delete(name),
      ),
    setDeaf: (vm: number, isDeaf: boolean) =>
      isDeaf ? deaf.add(names[vm]) : deaf.delete(names[vm]),
  };
}
