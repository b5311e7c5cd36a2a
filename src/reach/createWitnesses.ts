import type Member from '../members/Member';
import type Message from '../mesh/Message';
import type Clock from '../shared/Clock';
import type ProbeOutcome from '../upstream/ProbeOutcome';
import type Upstream from '../upstream/Upstream';

/** VMs that are asked; the partition of a data centre does not hold for all of them. */
const MAX_WITNESSES = 5;
/** A probe that hangs, and a round trip between data centres. */
const REPLY_TIMEOUT_MS = 600;

interface WitnessesHost extends Clock {
  /** Opens and closes a connection to an address (`ip:port`). */
  probe(address: string): Promise<ProbeOutcome>;
  tryGetUpstream(id: string): Upstream | undefined;
  /** Returns the other VMs of which this one has a recent heartbeat. */
  getPeers(now: number): readonly Pick<Member, 'address' | 'dataCentre'>[];
  /** Returns whether the message was queued for sending. */
  send(to: string, message: Message): boolean;
  /** Returns a number from 0 to 1. */
  random(): number;
}

/** Asks other VMs whether they reach an upstream that this VM does not reach. */
export default function createWitnesses(host: WitnessesHost) {
  const waiting = new Map<number, (outcome: ProbeOutcome) => void>();
  let lastId = 0;

  /** Returns whether an upstream accepts a connection of any of some other VMs. */
  function isReachedByOthers(upstream: string): Promise<boolean> {
    const witnesses = chooseWitnesses(host.getPeers(host.now()));
    return new Promise((resolve) => {
      const ids: number[] = [];
      let pendingCount = 0;
      const end = (isReached: boolean) => {
        cancel();
        ids.forEach((id) => waiting.delete(id));
        resolve(isReached);
      };
      const cancel = host.setTimer(REPLY_TIMEOUT_MS, () => end(false));
      witnesses.forEach((witness) => {
        lastId += 1;
        const id = lastId;
        if (host.send(witness, { kind: 'probeWanted', id, upstream })) {
          ids.push(id);
          pendingCount += 1;
          waiting.set(id, (outcome) => {
            pendingCount -= 1;
            if (outcome === 'accepted' || pendingCount === 0) {
              end(outcome === 'accepted');
            }
          });
        }
      });
      if (pendingCount === 0) {
        end(false);
      }
    });
  }

  /** Chooses witnesses at random, first one of each data centre. */
  function chooseWitnesses(
    peers: readonly Pick<Member, 'address' | 'dataCentre'>[],
  ): readonly string[] {
    const shuffled = peers
      .map((peer) => ({ peer, rank: host.random() }))
      .sort((left, right) => left.rank - right.rank)
      .map(({ peer }) => peer);
    const firsts = shuffled.filter(
      ({ dataCentre }, index) =>
        shuffled.findIndex((other) => other.dataCentre === dataCentre) === index,
    );
    const others = shuffled.filter((peer) => !firsts.includes(peer));
    return [...firsts, ...others].slice(0, MAX_WITNESSES).map(({ address }) => address);
  }

  /** Probes an upstream for another VM. */
  async function handleRequest(
    from: string,
    { id, upstream }: { id: number; upstream: string },
  ): Promise<void> {
    const address = host.tryGetUpstream(upstream)?.address;
    const outcome = address === undefined ? 'silent' : await host.probe(address);
    host.send(from, { kind: 'probed', id, outcome });
  }

  return {
    isReachedByOthers,
    handleRequest,
    handleReply: (id: number, outcome: ProbeOutcome) => {
      const handle = waiting.get(id);
      waiting.delete(id);
      handle?.(outcome);
    },
  };
}
