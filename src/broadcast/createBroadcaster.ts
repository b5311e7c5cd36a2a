import type Member from '../members/Member';
import type Members from '../members/Members';
import Message from '../mesh/Message';
import rankByRendezvous from '../shared/rankByRendezvous';

/** From so many other VMs on, messages for all go by way of one VM a data centre. */
const RELAYED_FROM = 24;

interface BroadcasterHost {
  now(): number;
  send(to: string, message: Message): boolean;
  members: Pick<Members, 'getMembers' | 'getServing'>;
}

/**
 * Sends messages to all entry VMs. A few are sent to directly; where there are many, one VM of
 * each other data centre (its hub) passes a message on, which keeps the bytes between data centres
 * and the work of a sender small.
 */
export default function createBroadcaster(
  host: BroadcasterHost,
  options: { address: string; dataCentre: string },
) {
  /** Whether messages go by way of hubs. */
  function isRelayed(): boolean {
    return host.members.getMembers().length >= RELAYED_FROM;
  }

  /** The hub of this VM's data centre; this VM where no other one serves there. */
  function getHub(now: number): string {
    const serving = new Set(host.members.getServing(now));
    return tryGetHub(getNear(), serving, serving.has(options.address)) ?? options.address;
  }

  function broadcast(message: Message): void {
    const members = host.members.getMembers();
    if (!isRelayed()) {
      members.forEach((member) => host.send(member.address, message));
      return;
    }
    sendNear(message);
    const serving = new Set(host.members.getServing(host.now()));
    const forward: Message = { kind: 'forward', message };
    new Set(members.map(({ dataCentre }) => dataCentre)).forEach((dataCentre) => {
      if (dataCentre !== options.dataCentre) {
        const there = members.filter((member) => member.dataCentre === dataCentre);
        const hub = tryGetHub(there, serving, false);
        if (hub !== undefined) {
          host.send(hub, forward);
        }
      }
    });
  }

  /** Sends to VMs that will answer: to all where they are few, else to those of this data centre. */
  function broadcastNearby(message: Message): void {
    if (isRelayed()) {
      sendNear(message);
    } else {
      broadcast(message);
    }
  }

  function sendNear(message: Message): void {
    getNear().forEach((member) => host.send(member.address, message));
  }

  /** Passes a message of another data centre on; answers it for this VM. */
  function receiveForward(message: unknown): Message | undefined {
    const inner = Message.safeParse(message);
    if (!inner.success || inner.data.kind === 'forward') {
      return undefined;
    }
    sendNear(inner.data);
    return inner.data;
  }

  function getNear(): Member[] {
    return host.members.getMembers().filter((member) => member.dataCentre === options.dataCentre);
  }

  function tryGetHub(
    members: readonly Member[],
    serving: ReadonlySet<string>,
    withOwn: boolean,
  ): string | undefined {
    const candidates = members.map(({ address }) => address).filter((one) => serving.has(one));
    return rankByRendezvous('hub', withOwn ? [...candidates, options.address] : candidates)[0];
  }

  return { isRelayed, getHub, broadcast, broadcastNearby, receiveForward };
}
