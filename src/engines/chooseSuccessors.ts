/**
 * Returns the VMs that may claim engines without an owner: those that own the fewest engines.
 * `holders` are the owners of all engines.
 */
export default function chooseSuccessors(
  vms: readonly string[],
  holders: readonly (string | undefined)[],
): string[] {
  const ownedCounts = new Map<string | undefined, number>();
  holders.forEach((holder) => ownedCounts.set(holder, (ownedCounts.get(holder) ?? 0) + 1));
  const getOwnedCount = (vm: string) => ownedCounts.get(vm) ?? 0;
  const fewestOwned = Math.min(...vms.map(getOwnedCount));
  return vms.filter((vm) => getOwnedCount(vm) === fewestOwned);
}
