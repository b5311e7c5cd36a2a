import type Member from '../members/Member';

/**
 * Chooses a VM at random whose mirror is newer than `revision`, if possible one of `dataCentre`.
 * `randomValue` is from 0 to 1 (exclusive). Returns undefined if there is none.
 */
export default function tryChooseNewerVm(
  vms: readonly Pick<Member, 'address' | 'dataCentre' | 'newestRow'>[],
  revision: number,
  dataCentre: string,
  randomValue: number,
): string | undefined {
  const newer = vms.filter((vm) => vm.newestRow > revision);
  const nearby = newer.filter((vm) => vm.dataCentre === dataCentre);
  const candidates = nearby.length > 0 ? nearby : newer;
  return candidates[Math.floor(randomValue * candidates.length)]?.address;
}
