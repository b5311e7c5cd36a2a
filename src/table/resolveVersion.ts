import type AdapterRow from './AdapterRow';

/**
 * Returns the version that a request runs on, or undefined if the requested one does not exist. If
 * the request specifies none, `randomValue`, from 0 (inclusive) to 1 (exclusive), selects a version
 * in proportion to the weights; if all weights are 0, the current version is returned.
 */
export default function resolveVersion(
  row: AdapterRow,
  requestedName: string | undefined,
  randomValue: number,
): string | undefined {
  if (requestedName !== undefined) {
    return row.versions.find((version) => version.name === requestedName)?.name;
  }
  const totalWeight = row.versions.reduce((sum, version) => sum + version.weight, 0);
  if (totalWeight === 0 || row.versions.length === 1) {
    return row.currentVersion;
  }
  let remainingWeight = randomValue * totalWeight;
  const selected = row.versions.find((version) => {
    remainingWeight -= version.weight;
    return remainingWeight < 0;
  });
  return selected?.name ?? row.currentVersion;
}
