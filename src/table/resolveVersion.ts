import type AdapterRow from './AdapterRow';

/**
 * Returns the version that a request runs on, or undefined where the named one does not exist.
 * Without a name the versions' weights decide by `draw` (0 to 1); with all weights 0, the current.
 */
export default function resolveVersion(
  row: AdapterRow,
  named: string | undefined,
  draw: number,
): string | undefined {
  if (named !== undefined) {
    return row.versions.find((version) => version.name === named)?.name;
  }
  const total = row.versions.reduce((sum, version) => sum + version.weight, 0);
  if (total === 0 || row.versions.length === 1) {
    return row.currentVersion;
  }
  let rest = draw * total;
  const drawn = row.versions.find((version) => {
    rest -= version.weight;
    return rest < 0;
  });
  return drawn?.name ?? row.currentVersion;
}
