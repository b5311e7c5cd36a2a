import type Member from '../members/Member';
import type Members from '../members/Members';
import Message from '../mesh/Message';
import rankByRendezvous from '../shared/rankByRendezvous';

/** With this many other VMs, broadcasts are relayed by one VM in each data centre. */
const MIN_RELAYED_MEMBERS = 24;

interface BroadcasterHost {
  now(): number;
  send(to: string, message: Message): boolean;
  members: Pick<Members, 'getMembers' | 'getServing'>;
}

/**
 * Sends messages to all entry VMs: directly if they are few, otherwise by way of one VM in each
 * other data centre (its hub), which forwards the message there. This limits the traffic between
 * data centres and the work of the sender.
 */
export default function createBroadcaster(
  host: BroadcasterHost,
  options: { address: string; dataCentre: string },
) {
  /** Returns whether messages are relayed by hubs. */
  function isRelayed(): boolean {
    return host.members.getMembers().length >= MIN_RELAYED_MEMBERS;
  }

  /** Returns the hub of this VM's data centre, or this VM if no VM is serving there. */
  function getHub(now: number): string {
    const serving = new Set(host.members.getServing(now));
    return (
      tryGetHub(getOwnDataCentreMembers(), serving, serving.has(options.address)) ?? options.address
    );
  }

  function broadcast(message: Message): void {
    const members = host.members.getMembers();
    if (!isRelayed()) {
      members.forEach((member) => host.send(member.address, message));
      return;
    }
    sendToOwnDataCentre(message);
    const serving = new Set(host.members.getServing(host.now()));
    const forward: Message = { kind: 'forward', message };
    new Set(members.map(({ dataCentre }) => dataCentre)).forEach((dataCentre) => {
      if (dataCentre !== options.dataCentre) {
        const remoteMembers = members.filter((member) => member.dataCentre === dataCentre);
        const hub = tryGetHub(remoteMembers, serving, false);
        if (hub !== undefined) {
          host.send(hub, forward);
        }
      }
    });
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
   * Forwards a message from another data centre to the VMs of this one. Returns it for this VM to
   * handle, or undefined if it is invalid.
   */
  function receiveForward(message: unknown): Message | undefined {
    const inner = Message.safeParse(message);
    if (!inner.success || inner.data.kind === 'forward') {
      return undefined;
    }
    sendToOwnDataCentre(inner.data);
    return inner.data;
  }

  function getOwnDataCentreMembers(): Member[] {
    return host.members.getMembers().filter((member) => member.dataCentre === options.dataCentre);
  }

  function tryGetHub(
    members: readonly Member[],
    serving: ReadonlySet<string>,
    includesSelf: boolean,
  ): string | undefined {
    const candidates = members
      .map(({ address }) => address)
      .filter((address) => serving.has(address));
    return rankByRendezvous('hub', includesSelf ? [...candidates, options.address] : candidates)[0];
  }

  return { isRelayed, getHub, broadcast, broadcastNearby, receiveForward };
}
