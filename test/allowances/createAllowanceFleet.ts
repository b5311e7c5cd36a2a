import createEventQueue from '../../bench/createEventQueue';
import createRandom from '../../bench/createRandom';
import DEFAULT_BOUNDS from '../../src/allowances/DEFAULT_BOUNDS';
import createAllowances from '../../src/allowances/createAllowances';
import type Grant from '../../src/allowances/Grant';
import type Allowance from '../../src/manifest/Allowance';
import type Message from '../../src/mesh/Message';
import rankByRendezvous from '../../src/shared/rankByRendezvous';

const REFRESH_MS = 50;
const LINK_MS = 4;
const HOLDER_CHECK_MS = 10;
/** Registrations end this long after a VM is lost to the key-value service. */
const REGISTRATION_MS = 3000;
/** A VM is taken for dead by its peers after at most this time. */
const DEAD_AFTER_MS = 2800;
/** A message that a relay holds up arrives after at most this time. */
const MAX_LATE_MS = 2500;

interface Sent {
  at: number;
  amount: number;
}

interface Vm {
  name: string;
  allowances: ReturnType<typeof createAllowances>;
  clockOffset: number;
  startedAt: number;
  isAlive: boolean;
  pausedUntil: number;
  /** VMs of the same side of a partition hear each other. */
  side: number;
  hasStore: boolean;
  storeLostAt: number;
  /** VMs that this one hears, and that it takes for registered. */
  heard: string[];
  registered: string[];
  limit: { version: number; allowance: Allowance };
}

/** Creates the allowances of many VMs in virtual time, on links and machines that fail. */
export default function createAllowanceFleet(
  count: number,
  allowance: Allowance,
  { seed = 1, lossRate = 0, lateRate = 0, maxHoldMs = 400, retryRate = 0 } = {},
) {
  const queue = createEventQueue<() => void>();
  const random = createRandom(seed);
  const sent: Sent[] = [];
  const sentMessages = new Map<string, number>();
  const refusals: Extract<Grant, { kind: 'refused' }>[] = [];
  const limits = [{ at: 0, version: 1, allowance }];
  let now = 0;
  let runCount = 0;
  let grantedCount = 0;
  let mostHolders = 0;
  let newestLimit = { version: 1, allowance };
  const vms: Vm[] = Array.from({ length: count }, (_, index) => createVm(`vm${index}`));

  function schedule(delayMs: number, run: () => void): void {
    queue.push(now + Math.max(0, delayMs), run);
  }

  /** Runs code of a VM; a paused one runs it when it wakes, a VM that has ended does not. */
  function runOn(vm: Vm, run: () => void): void {
    if (vm.isAlive && now < vm.pausedUntil) {
      schedule(vm.pausedUntil - now, () => runOn(vm, run));
    } else if (vm.isAlive) {
      run();
    }
  }

  function createVm(name: string): Vm {
    runCount += 1;
    const clockOffset = random() * 1e6;
    const getNow = () => now + clockOffset;
    const vm: Vm = {
      name,
      clockOffset,
      startedAt: now,
      isAlive: true,
      pausedUntil: -Infinity,
      side: 0,
      hasStore: true,
      storeLostAt: -Infinity,
      heard: [],
      registered: [],
      limit: newestLimit,
      allowances: createAllowances(
        {
          now: getNow,
          setTimer: (delayMs, callback) => {
            let isCancelled = false;
            schedule(delayMs, () => runOn(vm, () => isCancelled || callback()));
            return () => {
              isCancelled = true;
            };
          },
          isNeeded: () => true,
          getManifestVersion: () => vm.limit.version,
          getBounds: () => DEFAULT_BOUNDS,
          tryGetVms: () => (vm.registered.length > 0 ? vm.registered : undefined),
          rankHolders: () => rankByRendezvous('holder', [...vm.heard, name]),
          send: (to, message) => send(vm, to, message),
          random,
          onElected: () => {},
        },
        { address: name, run: String(runCount), startedAt: getNow() },
      ),
    };
    const refresh = () => {
      runOn(vm, () => {
        vm.allowances.refresh(getNow());
        schedule(REFRESH_MS, refresh);
      });
    };
    const updateView = () => {
      runOn(vm, () => {
        updateVms(vm);
        const intervalMs = now - vm.startedAt < 1000 ? 100 : DEAD_AFTER_MS;
        schedule(random() * intervalMs, updateView);
      });
    };
    schedule(random() * REFRESH_MS, refresh);
    schedule(50 + random() * 50, updateView);
    return vm;
  }

  function updateVms(vm: Vm): void {
    const others = vms.filter((other) => other !== vm && other.isAlive);
    vm.heard = others
      .filter(({ side, pausedUntil }) => side === vm.side && pausedUntil <= now)
      .map(({ name }) => name);
    if (vm.hasStore) {
      const isRegistered = (other: Vm) =>
        other.isAlive && (other.hasStore || now - other.storeLostAt < REGISTRATION_MS);
      vm.registered = vms.filter(isRegistered).map(({ name }) => name);
    }
    // A VM that has not read its own registration does not know how many there are.
    if (vm.registered.length > 0) {
      vm.registered = [...new Set([...vm.registered, ...vm.heard, vm.name])];
    }
    vm.limit = newestLimit;
  }

  function send(from: Vm, to: string, message: Message): boolean {
    sentMessages.set(message.kind, (sentMessages.get(message.kind) ?? 0) + 1);
    const target = vms.find(({ name }) => name === to);
    if (!target?.isAlive) {
      return false;
    }
    if (target.side === from.side && random() >= lossRate) {
      const deliver = () => runOn(target, () => receive(target, from.name, message));
      const isLate = random() < lateRate;
      schedule(isLate ? random() * MAX_LATE_MS : LINK_MS * (0.5 + random()), deliver);
      if (isLate) {
        schedule(random() * MAX_LATE_MS, deliver);
      }
    }
    return true;
  }

  function receive({ allowances, clockOffset }: Vm, from: string, message: Message): void {
    const at = now + clockOffset;
    if (message.kind === 'allowancePoll') {
      allowances.handlePoll(at, from, message);
    } else if (message.kind === 'allowanceVote') {
      allowances.handleVote(at, from, message);
    } else if (message.kind === 'allowanceWanted') {
      allowances.handleRequest(at, from, message);
    } else if (message.kind === 'allowanceLease') {
      allowances.handleReply(at, from, message);
    }
  }

  /** Sends a request by way of a VM: it waits for some time before it is sent, or is not. */
  function sendRequest(vm: Vm, amount: number): void {
    const organisation = { name: 'o', allowance: vm.limit.allowance };
    const toVmTime = () => now + vm.clockOffset;
    runOn(vm, async () => {
      const grant = await vm.allowances.acquire(toVmTime(), organisation, amount);
      if (grant.kind === 'refused') {
        refusals.push(grant);
        return;
      }
      grantedCount += 1;
      const isSent = random() < 0.95;
      schedule(random() < 0.8 ? random() * 20 : random() * maxHoldMs, () =>
        runOn(vm, () => {
          if (isSent && grant.trySpend(toVmTime())) {
            sent.push({ at: now, amount });
          }
          grant.end(toVmTime(), isSent);
          if (random() < retryRate) {
            schedule(random() * 300, () =>
              runOn(vm, () => grant.trySpend(toVmTime()) && sent.push({ at: now, amount })),
            );
          }
        }),
      );
    });
  }

  /** Sends requests at random times by way of random VMs. */
  function load(perSecond: number, durationMs: number, getAmount: () => number): void {
    for (let at = 0; at < durationMs; at += (-Math.log(1 - random()) * 1000) / perSecond) {
      schedule(at, () => sendRequest(vms[Math.floor(random() * count)], getAmount()));
    }
  }

  async function advance(durationMs: number): Promise<void> {
    const end = now + durationMs;
    let isEnded = false;
    queue.push(end, () => {
      isEnded = true;
    });
    while (!isEnded) {
      const { at, value: run } = queue.pop()!;
      now = at;
      run();
      for (let round = 0; round < 4; round += 1) {
        await Promise.resolve();
      }
    }
  }

  /** Returns the most that was sent in a window, as a part of its bound. */
  function getMostOfBound(): number {
    const { windowMs, excess, slack } = DEFAULT_BOUNDS;
    const ordered = [...sent].sort((left, right) => left.at - right.at);
    let sum = 0;
    let first = 0;
    let most = 0;
    ordered.forEach(({ at, amount }) => {
      sum += amount;
      while (ordered[first].at < at - windowMs) {
        sum -= ordered[first].amount;
        first += 1;
      }
      // A lower limit binds one window after all VMs have received it.
      const inForce = limits.filter(
        (_, index) => (limits[index + 1]?.at ?? Infinity) + DEAD_AFTER_MS > at - 2 * windowMs,
      );
      const bound = Math.max(
        ...inForce.map(
          ({ allowance: { perSecond, burst } }) =>
            ((perSecond * windowMs) / 1000 + burst) * (1 + excess) + slack,
        ),
      );
      most = Math.max(most, sum / bound);
    });
    return most;
  }

  function getHolders(): Vm[] {
    return vms.filter(
      (vm) => vm.isAlive && now >= vm.pausedUntil && vm.allowances.isHolder(now + vm.clockOffset),
    );
  }

  function checkHolders(): void {
    mostHolders = Math.max(mostHolders, getHolders().length);
    schedule(HOLDER_CHECK_MS, checkHolders);
  }
  checkHolders();

  return {
    vms,
    random,
    sent,
    sentMessages,
    refusals,
    getGrantedCount: () => grantedCount,
    now: () => now,
    schedule,
    load,
    sendRequest,
    advance,
    getMostOfBound,
    getHolders,
    getMostHolders: () => mostHolders,
    pause: (vm: number, durationMs: number) => {
      vms[vm].pausedUntil = now + durationMs;
    },
    restart: (vm: number, downMs: number) => {
      vms[vm].isAlive = false;
      schedule(downMs, () => {
        vms[vm].isAlive = false;
        vms[vm] = createVm(vms[vm].name);
      });
    },
    /** Cuts VMs off the others, and off the key-value service if `hasStore` is not set. */
    cut: (isCut: (vm: number) => boolean, hasStore: boolean) =>
      vms.forEach((vm, index) => {
        Object.assign(vm, { side: isCut(index) ? 1 : 0, hasStore: !isCut(index) || hasStore });
        Object.assign(vm, { storeLostAt: vm.hasStore ? -Infinity : now });
      }),
    heal: () => vms.forEach((vm) => Object.assign(vm, { side: 0, hasStore: true })),
    loseStore: (durationMs: number) => {
      vms.forEach((vm) => Object.assign(vm, { hasStore: false, storeLostAt: now }));
      schedule(durationMs, () => vms.forEach((vm) => Object.assign(vm, { hasStore: true })));
    },
    setAllowance: (newAllowance: Allowance) => {
      newestLimit = { version: newestLimit.version + 1, allowance: newAllowance };
      limits.push({ at: now, ...newestLimit });
    },
  };
}
