import type UsageSource from './UsageSource';

/** Says whose requests a message counts: the sender's, or those of the data centre that it names. */
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
