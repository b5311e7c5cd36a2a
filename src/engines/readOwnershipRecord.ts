import type OwnershipRecord from './OwnershipRecord';

/** Reads the record of an engine's owner; fields that earlier versions did not write have defaults. */
export default function readOwnershipRecord(value: string, revision: number): OwnershipRecord {
  const {
    holder,
    incarnation,
    generation = 0,
    isTakeover = false,
    firstRun,
  } = JSON.parse(value) as {
    holder: string;
    incarnation: string;
    generation?: number;
    isTakeover?: boolean;
    firstRun?: number;
  };
  return { holder, incarnation, generation, isTakeover, firstRun, revision };
}
