import rankRelays from '../broadcast/rankRelays';
import type Member from '../members/Member';

/** Number of VMs that read the key-value service for all; with two, losing one causes no gap. */
const READER_COUNT = 2;

/**
 * Chooses the VMs that read the key-value service on behalf of all. VMs that it does not answer are
 * passed over, unless it answers none.
 */
export default function chooseReaders(
  vms: readonly Pick<Member, 'address' | 'linkMbps' | 'isServiceLost'>[],
): string[] {
  const reachable = vms.filter((vm) => !vm.isServiceLost);
  return rankRelays('readers', reachable.length > 0 ? reachable : vms).slice(0, READER_COUNT);
}
