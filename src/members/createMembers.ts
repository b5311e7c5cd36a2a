import type Message from '../mesh/Message';
import type KeyValue from '../keyValue/KeyValue';
import type VirtualMachine from '../vmList/VirtualMachine';
import getPrefixEnd from '../keyValue/getPrefixEnd';
import runPeriodically from '../shared/runPeriodically';
import type Clock from '../shared/Clock';
import type Member from './Member';

type Heartbeat = Extract<Message, { kind: 'heartbeat' }>;

const MEMBER_PREFIX = '/baobablink/members/';
const HEARTBEAT_INTERVAL_MS = 450;
/** One in this many heartbeats is full; the others carry only the fields that change often. */
const HEARTBEATS_PER_FULL = 5;
/** With more VMs, the heartbeat interval and the timeouts grow in proportion to their number. */
const MAX_FULL_RATE_MEMBERS = 48;
/** The field `heard` grows with the number of VMs, so a large cluster sends it less often. */
const HEARTBEATS_PER_FULL_LARGE = 20;
const DEAD_AFTER_MS = 1500;
/**
 * Maximum age of the last heartbeat of a VM that `heard` lists. Shorter than `DEAD_AFTER_MS`, so
 * that a dead VM is soon no longer reported to other VMs as alive.
 */
const MAX_REPORTED_AGE_MS = 1000;
const REDIAL_AFTER_SILENCE_MS = 1200;
/** Time after its start until all VMs have heard of a VM. */
const SETTLE_MS = 1500;
const REGISTRY_INTERVAL_MS = 1000;
const VM_LIST_INTERVAL_MS = 1000;

interface MembersHost extends Clock {
  keyValue: Pick<KeyValue, 'range' | 'transact' | 'grantLease' | 'keepLeaseAlive' | 'revokeLease'>;
  /** Returns the platform's list of VMs, or undefined if it is unavailable. */
  tryGetVmList(): Promise<VirtualMachine[] | undefined>;
  /** Returns whether the message was queued for sending. */
  send(to: string, message: Message): boolean;
  /** Replaces the link to a VM. */
  redial(to: string): void;
  setPeers(addresses: string[]): void;
  /** Returns the heartbeat fields that other controllers provide. */
  getHeartbeatFields(
    now: number,
  ): Pick<
    Heartbeat,
    'tableRevision' | 'newestRow' | 'confirmedAgeMs' | 'inFlight' | 'isServiceLost'
  >;
  onHeartbeat(now: number, member: Member): void;
}

interface Registration {
  incarnation: string;
}

/**
 * Creates the membership controller, which registers this VM under a lease, exchanges heartbeats
 * with the other entry VMs and tracks their state. Their addresses come from the settings, the
 * registry of leased keys in the key-value service and the platform's list of VMs. Liveness is
 * derived from heartbeats alone, since the registry and the list lag.
 */
export default function createMembers(
  host: MembersHost,
  options: {
    address: string;
    dataCentre: string;
    callerAddress: string;
    incarnation: string;
    /** Bandwidth of this VM's network link in Mbit/s; undefined if unknown. */
    linkMbps?: number;
    seeds: string[];
    leaseSeconds: number;
  },
) {
  const members = new Map<string, Member>();
  let registered = new Map<string, Registration>();
  let registryReadAt = -Infinity;
  let listedVms: VirtualMachine[] = [];
  let state: 'live' | 'leaving' = 'live';
  let lease: string | undefined;
  let leaseValidUntil = -Infinity;
  let leaseNumber = 0;
  /** Time without a valid lease before the present one, in milliseconds. */
  let leaseGapMs = Infinity;
  let repeaterStops: (() => void)[] = [];
  let startedAt = Infinity;
  let heartbeatCount = 0;
  let heartbeatSentAt = -Infinity;
  let lastReportedAddresses = '';
  const redialledAt = new Map<string, number>();

  function start(): void {
    startedAt = host.now();
    repeaterStops = [
      runPeriodically(host, HEARTBEAT_INTERVAL_MS, sendHeartbeatIfDue),
      runPeriodically(host, REGISTRY_INTERVAL_MS, maintainRegistration),
      runPeriodically(host, VM_LIST_INTERVAL_MS, refreshVmList),
    ];
  }

  /** Returns the factor (1 or more) by which heartbeat interval and timeouts are extended. */
  function getIntervalFactor(): number {
    return Math.max(1, members.size / MAX_FULL_RATE_MEMBERS);
  }

  function getDeadAfterMs(): number {
    return DEAD_AFTER_MS * getIntervalFactor();
  }

  function sendHeartbeatIfDue(): void {
    const intervalMs = HEARTBEAT_INTERVAL_MS * getIntervalFactor();
    if (host.now() - heartbeatSentAt >= intervalMs - HEARTBEAT_INTERVAL_MS / 2) {
      sendHeartbeat();
    }
  }

  function sendHeartbeat(): void {
    const now = host.now();
    const addresses = getKnownAddresses();
    heartbeatSentAt = now;
    host.setPeers(addresses);
    const shortHeartbeat: Heartbeat = { kind: 'heartbeat', state, ...host.getHeartbeatFields(now) };
    const reportedAddresses = getReportedAddresses(now);
    const { incarnation, dataCentre, callerAddress, linkMbps } = options;
    const fullHeartbeat = {
      ...shortHeartbeat,
      about: { incarnation, dataCentre, callerAddress, linkMbps, heard: reportedAddresses },
    };
    heartbeatCount += 1;
    const isLarge = members.size > MAX_FULL_RATE_MEMBERS;
    const isFullDue =
      heartbeatCount % (isLarge ? HEARTBEATS_PER_FULL_LARGE : HEARTBEATS_PER_FULL) === 0 ||
      (!isLarge && reportedAddresses.join() !== lastReportedAddresses);
    lastReportedAddresses = reportedAddresses.join();
    const heard = new Set(reportedAddresses);
    // VMs that get the same heartbeat follow each other, so that it is encoded once.
    [fullHeartbeat, shortHeartbeat].forEach((heartbeat) =>
      [true, false].forEach((hearsYou) => {
        const message = { ...heartbeat, hearsYou };
        addresses.forEach((address) => {
          // A VM that has no full heartbeat of this one ignores short ones.
          const isFull =
            isFullDue ||
            !hasRecentHeartbeat(now, address) ||
            !members.get(address)?.receivesHeartbeats;
          if (isFull === (heartbeat === fullHeartbeat) && heard.has(address) === hearsYou) {
            host.send(address, message);
          }
        });
      }),
    );
    members.forEach((member) => redialIfSilent(now, member));
  }

  /**
   * Replaces the link to a VM that sends no heartbeats: this VM's own link to it may be broken as
   * well, which the other VM cannot report then.
   */
  function redialIfSilent(now: number, member: Member): void {
    const lastActivityAt = Math.max(
      member.lastHeartbeatAt,
      redialledAt.get(member.address) ?? -Infinity,
    );
    if (now - lastActivityAt > REDIAL_AFTER_SILENCE_MS * getIntervalFactor()) {
      redialledAt.set(member.address, now);
      host.redial(member.address);
    }
  }

  /** Renews the lease, registers this VM if it has none, and reads the registry. */
  async function maintainRegistration(): Promise<void> {
    const sentAt = host.now();
    if (lease !== undefined) {
      const renewed = await host.keyValue.keepLeaseAlive(lease);
      if (renewed.ok && renewed.value > 0) {
        leaseValidUntil = sentAt + options.leaseSeconds * 1000;
      } else if (renewed.ok) {
        lease = undefined;
      }
    }
    if (lease === undefined && state === 'live') {
      await register();
    }
    await refreshRegistry();
  }

  async function register(): Promise<void> {
    const sentAt = host.now();
    const granted = await host.keyValue.grantLease(options.leaseSeconds);
    if (!granted.ok) {
      return;
    }
    const put = await host.keyValue.transact({
      compare: [],
      writes: [
        {
          kind: 'put',
          key: `${MEMBER_PREFIX}${options.address}`,
          value: JSON.stringify({ incarnation: options.incarnation }),
          lease: granted.value,
        },
      ],
      readOnFailure: [],
    });
    if (put.ok) {
      leaseNumber += 1;
      leaseGapMs = Math.max(0, sentAt - leaseValidUntil);
      lease = granted.value;
      leaseValidUntil = sentAt + options.leaseSeconds * 1000;
    }
  }

  async function refreshRegistry(): Promise<void> {
    const sentAt = host.now();
    const registry = await host.keyValue.range({
      key: MEMBER_PREFIX,
      rangeEnd: getPrefixEnd(MEMBER_PREFIX),
    });
    if (!registry.ok) {
      return;
    }
    registryReadAt = sentAt;
    registered = new Map(
      registry.value.entries.map((entry) => [
        entry.key.slice(MEMBER_PREFIX.length),
        JSON.parse(entry.value) as Registration,
      ]),
    );
  }

  async function refreshVmList(): Promise<void> {
    const list = await host.tryGetVmList();
    if (list) {
      listedVms = list;
    }
  }

  function getKnownAddresses(): string[] {
    const addresses = new Set<string>(options.seeds);
    registered.forEach((_, address) => addresses.add(address));
    listedVms.filter((vm) => vm.role === 'entry').forEach((vm) => addresses.add(vm.address));
    members.forEach((_, address) => addresses.add(address));
    addresses.delete(options.address);
    return [...addresses];
  }

  /** Records a heartbeat. Ignores short ones until a full one of the same VM has arrived. */
  function receive(from: string, message: Heartbeat): void {
    const now = host.now();
    const previous = members.get(from);
    const about = message.about ?? previous;
    if (!about) {
      return;
    }
    const heard = message.about ? new Set(message.about.heard) : previous!.heard;
    const member: Member = {
      address: from,
      incarnation: about.incarnation,
      state: message.state,
      dataCentre: about.dataCentre,
      callerAddress: about.callerAddress,
      linkMbps: about.linkMbps ?? 0,
      heardSince: previous?.incarnation === about.incarnation ? previous.heardSince : now,
      lastHeartbeatAt: now,
      tableRevision: message.tableRevision,
      newestRow: message.newestRow,
      confirmedAgeMs: message.confirmedAgeMs,
      inFlight: message.inFlight,
      isServiceLost: message.isServiceLost === true,
      heard,
      receivesHeartbeats: message.hearsYou ?? heard.has(options.address),
    };
    members.set(from, member);
    redialIfHeartbeatsLost(now, member);
    host.onHeartbeat(now, member);
  }

  /** Replaces the link to a VM that reports no recent heartbeat from this VM. */
  function redialIfHeartbeatsLost(now: number, member: Member): void {
    const lastReceivedAt = redialledAt.get(member.address) ?? now - REDIAL_AFTER_SILENCE_MS / 2;
    redialledAt.set(member.address, lastReceivedAt);
    if (member.receivesHeartbeats) {
      redialledAt.set(member.address, now);
    } else if (now - lastReceivedAt > REDIAL_AFTER_SILENCE_MS * getIntervalFactor()) {
      redialledAt.set(member.address, now);
      host.redial(member.address);
    }
  }

  /** Returns the VMs that the `heard` field of this VM's heartbeats lists. */
  function getReportedAddresses(now: number): string[] {
    return [...members.values()]
      .filter((member) => now - member.lastHeartbeatAt < MAX_REPORTED_AGE_MS * getIntervalFactor())
      .map((member) => member.address);
  }

  /** Returns whether the last heartbeat of a VM is recent enough to count it as alive. */
  function hasRecentHeartbeat(now: number, address: string): boolean {
    const member = members.get(address);
    return member !== undefined && now - member.lastHeartbeatAt < getDeadAfterMs();
  }

  /** Returns a VM with a recent heartbeat that itself reports a recent heartbeat from `address`. */
  function tryGetRelay(now: number, address: string): string | undefined {
    return [...members.values()].find(
      (member) => now - member.lastHeartbeatAt < getDeadAfterMs() && member.heard.has(address),
    )?.address;
  }

  /**
   * Returns whether this VM, or a VM from which it has a recent heartbeat, has a recent heartbeat
   * from `address`: a VM is not dead because the link between two VMs is broken.
   */
  function isAlive(now: number, address: string): boolean {
    if (address === options.address || hasRecentHeartbeat(now, address)) {
      return true;
    }
    return tryGetRelay(now, address) !== undefined;
  }

  /** Returns the VMs that accept new requests; includes this VM unless it is leaving. */
  function getServing(now: number): string[] {
    const serving = [...members.values()]
      .filter(
        (member) => member.state === 'live' && now - member.lastHeartbeatAt < getDeadAfterMs(),
      )
      .filter((member) => !isListedLeaving(member.address))
      .map((member) => member.address);
    return state === 'live' ? [options.address, ...serving] : serving;
  }

  /**
   * Returns the live VMs that may decide for all: those heard of for long enough that the other VMs
   * know them too, and this VM if it is part of a majority. This VM waits twice as long, so that the
   * others have replaced a former decider by then.
   */
  function getSettled(now: number): string[] {
    const settleMs = SETTLE_MS * getIntervalFactor();
    const settled = [...members.values()]
      .filter(
        (member) =>
          member.state === 'live' &&
          now - member.heardSince >= settleMs &&
          !isListedLeaving(member.address) &&
          isAlive(now, member.address),
      )
      .map(({ address }) => address);
    const isSettled = state === 'live' && now - startedAt >= 2 * settleMs && hasMajority(now);
    return isSettled ? [options.address, ...settled] : settled;
  }

  /** Returns whether the platform's list of VMs shows a VM as leaving. */
  function isListedLeaving(address: string): boolean {
    return listedVms.some((vm) => vm.address === address && vm.state === 'leaving');
  }

  /**
   * Returns whether a VM can no longer act on earlier messages: it is not alive, and a read of the
   * registry that was sent after its heartbeats had timed out found no registration of it.
   */
  function isGone(now: number, address: string): boolean {
    if (isAlive(now, address)) {
      return false;
    }
    const member = members.get(address);
    const lastHeartbeatAt = member?.lastHeartbeatAt ?? -Infinity;
    return registryReadAt > lastHeartbeatAt + getDeadAfterMs() && !registered.has(address);
  }

  /**
   * Returns whether no other VM can have acted on the end of this VM's lease: each VM that may be
   * alive has sent a recent heartbeat, and none of them has confirmed data of the key-value service
   * from after the time at which the lease was due to end. This is sound because a VM that takes
   * over ownership waits for longer than the interval between its heartbeats.
   */
  function isLeaseEndUnobserved(now: number): boolean {
    const others = new Set([...members.keys(), ...registered.keys()]);
    others.delete(options.address);
    return [...others]
      .filter((address) => !isGone(now, address))
      .every((address) => {
        const member = members.get(address);
        const confirmedAt = member && member.lastHeartbeatAt - (member.confirmedAgeMs ?? Infinity);
        return hasRecentHeartbeat(now, address) && confirmedAt! < leaseValidUntil;
      });
  }

  /** Returns the VMs that may hold grants: all members and registered VMs that are not gone. */
  function getPossibleHolders(now: number): string[] {
    const possible = new Set([...members.keys(), ...registered.keys()]);
    possible.delete(options.address);
    return [...possible].filter((address) => !isGone(now, address));
  }

  /**
   * Returns the number of VMs, this one included, that may draw on what all VMs share: also those that
   * this VM does not hear, as long as they may be alive.
   */
  function getSharerCount(now: number): number {
    return getPossibleHolders(now).length + 1;
  }

  /**
   * Returns whether this VM and the VMs with a recent heartbeat are more than half of all VMs:
   * this one, the registered ones and the live members that are not gone.
   */
  function hasMajority(now: number): boolean {
    const all = new Set([options.address, ...registered.keys()]);
    members.forEach((member) => {
      if (member.state === 'live' && !isGone(now, member.address)) {
        all.add(member.address);
      }
    });
    const reachableCount = [...all].filter(
      (address) => address === options.address || hasRecentHeartbeat(now, address),
    ).length;
    return reachableCount * 2 > all.size;
  }

  /**
   * Returns whether this VM may declare others dead: it has run for long enough to receive the
   * others' heartbeats, and it is part of a majority.
   */
  function canDeclareDead(now: number): boolean {
    return now - startedAt >= getDeadAfterMs() + HEARTBEAT_INTERVAL_MS && hasMajority(now);
  }

  /**
   * Announces that this VM is leaving: other VMs send it no new requests after the next heartbeat.
   * The registration stays until `releaseLease` or `stop`.
   */
  function announceLeaving(): void {
    state = 'leaving';
    sendHeartbeat();
  }

  /** Revokes this VM's lease, which removes its registration and all other keys of the lease. */
  async function releaseLease(): Promise<void> {
    const heldLease = lease;
    lease = undefined;
    leaseValidUntil = -Infinity;
    if (heldLease !== undefined) {
      await host.keyValue.revokeLease(heldLease);
    }
  }

  async function stop(): Promise<void> {
    repeaterStops.forEach((stopRepeater) => stopRepeater());
    await releaseLease();
  }

  return {
    start,
    stop,
    announceLeaving,
    releaseLease,
    receive,
    hasRecentHeartbeat,
    isAlive,
    tryGetRelay,
    isGone,
    isLeaseEndUnobserved,
    getServing,
    getSettled,
    getPossibleHolders,
    getSharerCount,
    hasMajority,
    canDeclareDead,
    isListedLeaving,
    isLeaving: () => state === 'leaving',
    hasLease: (now: number) => now < leaseValidUntil,
    /**
     * Returns a number that increases with each registration: anything held under an earlier lease
     * may belong to another VM by now.
     */
    getLeaseNumber: () => leaseNumber,
    getLeaseGapMs: () => leaseGapMs,
    getMembers: () => [...members.values()],
    getCount: () => members.size,
    getUpstreamStates: () =>
      new Map(listedVms.filter((vm) => vm.role === 'upstream').map((vm) => [vm.address, vm.state])),
  };
}
