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

type Line = Partial<Record<(typeof COLUMNS)[number], string>>;

/** Adapters' rows as CSV: versions are `name:weight` and data centres names, split by `;`. */
const adapterCsv = {
  parse(text: string): { name: string; value: unknown }[] {
    const lines = parse<Line>(text, { columns: true, skip_empty_lines: true, trim: true });
    return lines.map((line) => ({ name: line.name ?? '', value: getValue(line) }));
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

function getValue(line: Line): unknown {
  const split = (text: string | undefined) => (text ?? '').split(';').filter((part) => part !== '');
  const versions = split(line.versions).map((part) => {
    const [name, weight] = part.split(':');
    return { name, ...(weight === undefined ? {} : { weight: Number(weight) }) };
  });
  const homes = split(line.homeDataCentres);
  return {
    team: line.team,
    baseModel: line.baseModel,
    versions,
    currentVersion: line.currentVersion || versions[0]?.name,
    ...pickNumbers(line, ['weight', 'priority']),
    ...(line.class ? { class: line.class } : {}),
    limits: pickNumbers(line, ['requestsPerSecond', 'inFlight', 'queue']),
    ...(homes.length > 0 ? { homeDataCentres: homes } : {}),
  };
}

function pickNumbers(line: Line, names: (keyof Line)[]): Record<string, number> {
  return Object.fromEntries(
    names.filter((name) => line[name]).map((name) => [name, Number(line[name])]),
  );
}

export default adapterCsv;
