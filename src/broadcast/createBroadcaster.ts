import type Member from '../members/Member';
import type Members from '../members/Members';
import createCached from '../shared/createCached';
import Message from '../mesh/Message';
import rankRelays from './rankRelays';

/** With this many other VMs, broadcasts are relayed by one VM in each data centre. */
const MIN_RELAYED_MEMBERS = 24;
/** Interval at which relays and hubs are chosen anew; shorter than the time to find a dead VM. */
const RELAYS_VALID_MS = 200;

interface BroadcasterHost {
  now(): number;
  send(to: string, message: Message): boolean;
  members: Pick<Members, 'getMembers' | 'getServing'>;
}

/**
 * Sends messages to all entry VMs: directly if they are few, otherwise by way of one VM in each
 * other data centre, which forwards the message there. This limits the traffic between data centres
 * and the work of the sender. Each data centre that sends has a relay of its own in each other one,
 * and VMs with fast links are preferred, so that the forwarding does not fill the link of one VM.
 */
export default function createBroadcaster(
  host: BroadcasterHost,
  options: { address: string; dataCentre: string; linkMbps?: number },
) {
  /** Returns whether messages are relayed. */
  function isRelayed(): boolean {
    return host.members.getMembers().length >= MIN_RELAYED_MEMBERS;
  }

  const getRelays = createCached(RELAYS_VALID_MS, rankAllRelays);

  /**
   * Returns the VM that adds up the counts of this data centre, or this VM if no VM is serving
   * there.
   */
  const getHub = createCached(RELAYS_VALID_MS, chooseHub);

  function chooseHub(now: number): string {
    const serving = new Set(host.members.getServing(now));
    const candidates = getOwnDataCentreMembers().filter(({ address }) => serving.has(address));
    const { address, linkMbps = 0 } = options;
    const self = serving.has(address) ? [{ address, linkMbps }] : [];
    return rankRelays(options.dataCentre, [...candidates, ...self])[0] ?? address;
  }

  function broadcast(message: Message): void {
    const members = host.members.getMembers();
    if (!isRelayed()) {
      members.forEach((member) => host.send(member.address, message));
      return;
    }
    sendToOwnDataCentre(message);
    const forward: Message = { kind: 'forward', message };
    // The link to a relay may be down; the next one then takes its place.
    getRelays(host.now()).forEach((relays) => relays.find((relay) => host.send(relay, forward)));
  }

  /** Returns the VMs that may forward this one's messages, the first choice first, by data centre. */
  function rankAllRelays(now: number): string[][] {
    const serving = new Set(host.members.getServing(now));
    const others = host.members
      .getMembers()
      .filter(({ dataCentre }) => dataCentre !== options.dataCentre);
    return [...new Set(others.map(({ dataCentre }) => dataCentre))].map((dataCentre) =>
      rankRelays(
        options.dataCentre,
        others.filter((member) => member.dataCentre === dataCentre && serving.has(member.address)),
      ),
    );
  }

  /** Sends a message that needs replies: to all VMs if they are few, else to this data centre's. */
  function broadcastNearby(message: Message): void {
    if (isRelayed()) {
      sendToOwnDataCentre(message);
    } else {
      broadcast(message);
    }
  }

  function sendToOwnDataCentre(message: Message): void {
    getOwnDataCentreMembers().forEach((member) => host.send(member.address, message));
  }

  /**
   * Forwards a message from another data centre to the VMs of this one, as it is: they may understand
   * what this build does not. Returns it for this VM to handle, or undefined if it does not
   * understand it.
   */
  function receiveForward(message: unknown): Message | undefined {
    if (!hasKind(message) || message.kind === 'forward') {
      return undefined;
    }
    sendToOwnDataCentre(message as Message);
    const inner = Message.safeParse(message);
    return inner.success ? inner.data : undefined;
  }

  function getOwnDataCentreMembers(): Member[] {
    return host.members.getMembers().filter((member) => member.dataCentre === options.dataCentre);
  }

  return { isRelayed, getHub, broadcast, broadcastNearby, receiveForward };
}

function hasKind(message: unknown): message is { kind: string } {
  return (
    typeof message === 'object' &&
    message !== null &&
    'kind' in message &&
    typeof message.kind === 'string'
  );
}
