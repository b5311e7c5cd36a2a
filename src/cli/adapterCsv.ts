import { parse } from 'csv-parse/sync';
import { stringify } from 'csv-stringify/sync';
import type AdapterRow from '../table/AdapterRow';

const COLUMNS = [
  'name',
  'team',
  'baseModel',
  'versions',
  'currentVersion',
  'weight',
  'priority',
  'class',
  'requestsPerSecond',
  'inFlight',
  'queue',
  'homeDataCentres',
] as const;

type CsvRecord = Partial<Record<(typeof COLUMNS)[number], string>>;

/**
 * Converts adapter rows from and to CSV. A version is written as `name:weight`, a data centre as
 * its name; several in one cell are separated by `;`.
 */
const adapterCsv = {
  parse(text: string): { name: string; value: unknown }[] {
    const records = parse<CsvRecord>(text, { columns: true, skip_empty_lines: true, trim: true });
    return records.map((record) => ({ name: record.name ?? '', value: getRowValue(record) }));
  },
  format(rows: { name: string; value: AdapterRow }[]): string {
    return stringify(
      rows.map(({ name, value }) => ({
        ...value,
        ...value.limits,
        name,
        versions: value.versions.map((version) => `${version.name}:${version.weight}`).join(';'),
        homeDataCentres: (value.homeDataCentres ?? []).join(';'),
      })),
      { header: true, columns: [...COLUMNS] },
    );
  },
};

function getRowValue(record: CsvRecord): unknown {
  const splitList = (text: string | undefined) =>
    (text ?? '').split(';').filter((part) => part !== '');
  const versions = splitList(record.versions).map((part) => {
    const [name, weight] = part.split(':');
    return { name, ...(weight === undefined ? {} : { weight: Number(weight) }) };
  });
  const dataCentres = splitList(record.homeDataCentres);
  return {
    team: record.team,
    baseModel: record.baseModel,
    versions,
    currentVersion: record.currentVersion || versions[0]?.name,
    ...pickNumbers(record, ['weight', 'priority']),
    ...(record.class ? { class: record.class } : {}),
    limits: pickNumbers(record, ['requestsPerSecond', 'inFlight', 'queue']),
    ...(dataCentres.length > 0 ? { homeDataCentres: dataCentres } : {}),
  };
}

function pickNumbers(record: CsvRecord, names: (keyof CsvRecord)[]): Record<string, number> {
  return Object.fromEntries(
    names.filter((name) => record[name]).map((name) => [name, Number(record[name])]),
  );
}

export default adapterCsv;
