import type Message from '../mesh/Message';
import type KeyValue from '../keyValue/KeyValue';
import type VirtualMachine from '../vmList/VirtualMachine';
import getPrefixEnd from '../keyValue/getPrefixEnd';
import createRepeater from '../shared/createRepeater';
import type Clock from '../shared/Clock';
import type Member from './Member';

type Heartbeat = Extract<Message, { kind: 'heartbeat' }>;

const MEMBER_PREFIX = '/baobablink/members/';
const HEARTBEAT_PAUSE_MS = 450;
/** Each so many heartbeats tell all; the others only what changes often. */
const BEATS_TO_WHOLE = 5;
/** Up to so many VMs every heartbeat is sent; beyond, heartbeats and judgements slow down with the number. */
const FULL_RATE_MEMBERS = 48;
/** The list of VMs that are heard grows with their number: a large one is sent this much more seldom. */
const LARGE_BEATS_TO_WHOLE = 20;
const DEAD_AFTER_MS = 1500;
/** Shorter than `DEAD_AFTER_MS`, so that word of a dead VM is not passed on for long. */
const TOLD_HEARD_MS = 1000;
const UNHEARD_BEFORE_REDIAL_MS = 1200;
const REGISTRY_PAUSE_MS = 1000;
const LIST_PAUSE_MS = 1000;

interface MembersHost extends Clock {
  keyValue: Pick<KeyValue, 'range' | 'transact' | 'grantLease' | 'keepLeaseAlive' | 'revokeLease'>;
  tryGetList(): Promise<VirtualMachine[] | undefined>;
  send(to: string, message: Message): boolean;
  redial(to: string): void;
  setPeers(addresses: string[]): void;
  /** The parts of the heartbeat that other controllers know. */
  getHeartbeatFields(
    now: number,
  ): Pick<Heartbeat, 'tableRevision' | 'newestRow' | 'confirmedAgeMs' | 'inFlight'>;
  onHeartbeat(now: number, member: Member): void;
}

interface Registration {
  incarnation: string;
}

/**
 * Knows the other entry VMs. Addresses come from settings, the platform's registry of leased
 * keys and its list of VMs; liveness comes from heartbeats alone, since the platform lags.
 */
export default function createMembers(
  host: MembersHost,
  options: {
    address: string;
    dataCentre: string;
    callerAddress: string;
    incarnation: string;
    seeds: string[];
    leaseSeconds: number;
  },
) {
  const members = new Map<string, Member>();
  let registered = new Map<string, Registration>();
  let registryReadAt = -Infinity;
  let listed: VirtualMachine[] = [];
  let state: 'live' | 'leaving' = 'live';
  let lease: string | undefined;
  let leaseValidUntil = -Infinity;
  let leaseNumber = 0;
  let stops: (() => void)[] = [];
  let startedAt = Infinity;
  let beats = 0;
  let beatenAt = -Infinity;
  let lastHeard = '';
  const redialledAt = new Map<string, number>();

  function start(): void {
    startedAt = host.now();
    stops = [
      createRepeater(host, HEARTBEAT_PAUSE_MS, beatWhenDue),
      createRepeater(host, REGISTRY_PAUSE_MS, keepRegistered),
      createRepeater(host, LIST_PAUSE_MS, readList),
    ];
  }

  /** How much slower than usual this VM beats and judges, for the number of VMs. */
  function getSlowness(): number {
    return Math.max(1, members.size / FULL_RATE_MEMBERS);
  }

  function getDeadAfterMs(): number {
    return DEAD_AFTER_MS * getSlowness();
  }

  function beatWhenDue(): void {
    const pauseMs = HEARTBEAT_PAUSE_MS * getSlowness();
    if (host.now() - beatenAt >= pauseMs - HEARTBEAT_PAUSE_MS / 2) {
      beat();
    }
  }

  function beat(): void {
    const now = host.now();
    const addresses = getKnownAddresses();
    beatenAt = now;
    host.setPeers(addresses);
    const brief: Heartbeat = { kind: 'heartbeat', state, ...host.getHeartbeatFields(now) };
    const heard = getHeard(now);
    const { incarnation, dataCentre, callerAddress } = options;
    const whole = { ...brief, about: { incarnation, dataCentre, callerAddress, heard } };
    beats += 1;
    const isLarge = members.size > FULL_RATE_MEMBERS;
    const isWhole =
      beats % (isLarge ? LARGE_BEATS_TO_WHOLE : BEATS_TO_WHOLE) === 0 ||
      (!isLarge && heard.join() !== lastHeard);
    lastHeard = heard.join();
    addresses.forEach((address) => {
      const isNew = !hasRecentHeartbeat(now, address);
      const hearsYou = heard.includes(address);
      host.send(address, { ...(isWhole || isNew ? whole : brief), hearsYou });
    });
    members.forEach((member) => redialWhereSilent(now, member));
  }

  /** Replaces the link to a VM that is not heard: both ways may have been lost track of. */
  function redialWhereSilent(now: number, member: Member): void {
    const last = Math.max(member.heardAt, redialledAt.get(member.address) ?? -Infinity);
    if (now - last > UNHEARD_BEFORE_REDIAL_MS * getSlowness()) {
      redialledAt.set(member.address, now);
      host.redial(member.address);
    }
  }

  async function keepRegistered(): Promise<void> {
    const sentAt = host.now();
    if (lease !== undefined) {
      const kept = await host.keyValue.keepLeaseAlive(lease);
      if (kept.ok && kept.value > 0) {
        leaseValidUntil = sentAt + options.leaseSeconds * 1000;
      } else if (kept.ok) {
        lease = undefined;
      }
    }
    if (lease === undefined && state === 'live') {
      await register();
    }
    await readRegistry();
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
      lease = granted.value;
      leaseValidUntil = sentAt + options.leaseSeconds * 1000;
    }
  }

  async function readRegistry(): Promise<void> {
    const sentAt = host.now();
    const answer = await host.keyValue.range({
      key: MEMBER_PREFIX,
      rangeEnd: getPrefixEnd(MEMBER_PREFIX),
    });
    if (!answer.ok) {
      return;
    }
    registryReadAt = sentAt;
    registered = new Map(
      answer.value.entries.map((entry) => [
        entry.key.slice(MEMBER_PREFIX.length),
        JSON.parse(entry.value) as Registration,
      ]),
    );
  }

  async function readList(): Promise<void> {
    const list = await host.tryGetList();
    if (list) {
      listed = list;
    }
  }

  function getKnownAddresses(): string[] {
    const known = new Set<string>(options.seeds);
    registered.forEach((_, address) => known.add(address));
    listed
      .filter((machine) => machine.role === 'entry')
      .forEach((machine) => known.add(machine.address));
    members.forEach((_, address) => known.add(address));
    known.delete(options.address);
    return [...known];
  }

  function receive(from: string, message: Heartbeat): void {
    const now = host.now();
    const known = members.get(from);
    const about = message.about ?? known;
    if (!about) {
      return;
    }
    const member: Member = {
      address: from,
      incarnation: about.incarnation,
      state: message.state,
      dataCentre: about.dataCentre,
      callerAddress: about.callerAddress,
      heardAt: now,
      tableRevision: message.tableRevision,
      newestRow: message.newestRow,
      confirmedAgeMs: message.confirmedAgeMs,
      inFlight: message.inFlight,
      heard: new Set(about.heard),
    };
    members.set(from, member);
    redialWhereUnheard(now, member, message.hearsYou ?? member.heard.has(options.address));
    host.onHeartbeat(now, member);
  }

  function redialWhereUnheard(now: number, member: Member, hearsUs: boolean): void {
    const last = redialledAt.get(member.address) ?? now - UNHEARD_BEFORE_REDIAL_MS / 2;
    redialledAt.set(member.address, last);
    if (hearsUs) {
      redialledAt.set(member.address, now);
    } else if (now - last > UNHEARD_BEFORE_REDIAL_MS * getSlowness()) {
      redialledAt.set(member.address, now);
      host.redial(member.address);
    }
  }

  function getHeard(now: number): string[] {
    return [...members.values()]
      .filter((member) => now - member.heardAt < TOLD_HEARD_MS * getSlowness())
      .map((member) => member.address);
  }

  /** Whether a VM was heard by this one just now. */
  function hasRecentHeartbeat(now: number, address: string): boolean {
    const member = members.get(address);
    return member !== undefined && now - member.heardAt < getDeadAfterMs();
  }

  /** A VM that is heard here and hears another one, which is not heard here. */
  function tryGetRelay(now: number, address: string): string | undefined {
    return [...members.values()].find(
      (member) => now - member.heardAt < getDeadAfterMs() && member.heard.has(address),
    )?.address;
  }

  /** Whether a VM is heard here or by one that is heard here: a cut between two is no death. */
  function isAlive(now: number, address: string): boolean {
    if (address === options.address || hasRecentHeartbeat(now, address)) {
      return true;
    }
    return tryGetRelay(now, address) !== undefined;
  }

  /** The VMs that take new work, this one among them unless it is leaving. */
  function getServing(now: number): string[] {
    const serving = [...members.values()]
      .filter((member) => member.state === 'live' && now - member.heardAt < getDeadAfterMs())
      .filter((member) => !isListedLeaving(member.address))
      .map((member) => member.address);
    return state === 'live' ? [options.address, ...serving] : serving;
  }

  function isListedLeaving(address: string): boolean {
    return listed.some((machine) => machine.address === address && machine.state === 'leaving');
  }

  /**
   * Whether a VM can no longer act on what it was told: its registration has lapsed by a read made
   * after it was last heard, or it said that it leaves and its link is silent since.
   */
  function isGone(now: number, address: string): boolean {
    if (isAlive(now, address)) {
      return false;
    }
    const member = members.get(address);
    const heardAt = member?.heardAt ?? -Infinity;
    return registryReadAt > heardAt + getDeadAfterMs() && !registered.has(address);
  }

  /**
   * Whether no VM can have acted on the end of this VM's registration: each one that may live is
   * heard, and none has had word of the key-value service since the lease was to end. A VM that
   * takes something over waits for longer than its heartbeats are apart.
   */
  function isLeaseEndUnobserved(now: number): boolean {
    const others = new Set([...members.keys(), ...registered.keys()]);
    others.delete(options.address);
    return [...others]
      .filter((address) => !isGone(now, address))
      .every((address) => {
        const member = members.get(address);
        const confirmedAt = member && member.heardAt - (member.confirmedAgeMs ?? Infinity);
        return hasRecentHeartbeat(now, address) && confirmedAt! < leaseValidUntil;
      });
  }

  /** The VMs that may hold grants: all that were ever known and are not known to be gone. */
  function getPossibleHolders(now: number): string[] {
    const possible = new Set([...members.keys(), ...registered.keys()]);
    possible.delete(options.address);
    return [...possible].filter((address) => !isGone(now, address));
  }

  /** Whether this VM and those it hears are more than half of those registered or heard. */
  function hasMajority(now: number): boolean {
    const all = new Set([options.address, ...registered.keys()]);
    members.forEach((member) => {
      if (member.state === 'live' && !isGone(now, member.address)) {
        all.add(member.address);
      }
    });
    const heard = [...all].filter(
      (address) => address === options.address || hasRecentHeartbeat(now, address),
    ).length;
    return heard * 2 > all.size;
  }

  /**
   * Whether this VM may judge that another one is dead: it has been up for long enough to hear the
   * others, and hears most of them.
   */
  function canDeclareDead(now: number): boolean {
    return now - startedAt >= getDeadAfterMs() + HEARTBEAT_PAUSE_MS && hasMajority(now);
  }

  /** Leaves: no new work after the next heartbeat; the registration stays until `stop`. */
  function announceLeaving(): void {
    state = 'leaving';
    beat();
  }

  /** Gives the registration up, and with it all that is held by it. */
  async function releaseLease(): Promise<void> {
    const held = lease;
    lease = undefined;
    leaseValidUntil = -Infinity;
    if (held !== undefined) {
      await host.keyValue.revokeLease(held);
    }
  }

  async function stop(): Promise<void> {
    stops.forEach((end) => end());
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
    getPossibleHolders,
    hasMajority,
    canDeclareDead,
    isListedLeaving,
    isLeaving: () => state === 'leaving',
    hasLease: (now: number) => now < leaseValidUntil,
    /** Rises with every registration: what was held under an earlier one may be another VM's. */
    getLeaseNumber: () => leaseNumber,
    getMembers: () => [...members.values()],
    getCount: () => members.size,
    getUpstreamStates: () =>
      new Map(
        listed
          .filter((machine) => machine.role === 'upstream')
          .map((machine) => [machine.address, machine.state]),
      ),
  };
}
