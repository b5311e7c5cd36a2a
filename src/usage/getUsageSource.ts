import type UsageSource from './UsageSource';

/** Returns the source of the counts in a message: its sender, or the data centre that it names. */
export default function getUsageSource(
  from: string,
  dataCentre: string | undefined,
  ownDataCentre: string,
): UsageSource {
  if (dataCentre === undefined) {
    return { kind: 'vm', name: from };
  }
  const kind = dataCentre === ownDataCentre ? 'ownDataCentre' : 'otherDataCentre';
  return { kind, name: dataCentre };
}
