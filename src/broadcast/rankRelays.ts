import type Member from '../members/Member';
import rankByRendezvous from '../shared/rankByRendezvous';

/** A link counts as fast if it has at least this part of the bandwidth of the fastest one. */
const MIN_FAST_PART = 0.5;

/**
 * Ranks VMs as relays for a purpose: VMs with fast links first, and by rendezvous hashing among
 * equals, so that the relays for different purposes are spread over the VMs.
 */
export default function rankRelays(
  purpose: string,
  candidates: readonly Pick<Member, 'address' | 'linkMbps'>[],
): string[] {
  const fastest = Math.max(0, ...candidates.map(({ linkMbps }) => linkMbps));
  const isFast = ({ linkMbps }: { linkMbps: number }) => linkMbps >= fastest * MIN_FAST_PART;
  const rank = (vms: readonly { address: string }[]) =>
    rankByRendezvous(
      `relay ${purpose}`,
      vms.map(({ address }) => address),
    );
  return [
    ...rank(candidates.filter(isFast)),
    ...rank(candidates.filter((candidate) => !isFast(candidate))),
  ];
}
