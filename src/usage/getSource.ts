import type Source from './Source';

/** Says whose requests a message counts: the sender's, or those of the data centre that it names. */
export default function getSource(
  from: string,
  dataCentre: string | undefined,
  ownDataCentre: string,
): Source {
  if (dataCentre === undefined) {
    return { kind: 'vm', name: from };
  }
  const kind = dataCentre === ownDataCentre ? 'ownDataCentre' : 'otherDataCentre';
  return { kind, name: dataCentre };
}
