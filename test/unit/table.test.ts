import { expect } from 'chai';
import createTable from '../../src/table/createTable';
import resolveVersion from '../../src/table/resolveVersion';
import type AdapterRow from '../../src/table/AdapterRow';
import tryParseRowValue from '../../src/table/tryParseRowValue';

const rowValue = {
  team: 'atelier',
  baseModel: 'base',
  versions: [
    { name: 'v1', weight: 1 },
    { name: 'v2', weight: 3 },
  ],
  currentVersion: 'v1',
} as AdapterRow;

function createRow(name: string, revision: number, isDeleted = false) {
  const value = isDeleted ? undefined : rowValue;
  return { kind: 'adapters' as const, name, revision, edit: 'e', value };
}

describe('table', () => {
  it('rejects an older revision of a row, also after the row was deleted', () => {
    const table = createTable();
    expect(table.apply(createRow('a', 5))).to.equal(true);
    expect(table.apply(createRow('a', 4))).to.equal(false);
    expect(table.apply(createRow('a', 6, true))).to.equal(true);
    expect(table.apply(createRow('a', 5))).to.equal(false);
    expect(table.tryGetValue('adapters', 'a')).to.equal(undefined);
  });

  it('lists rows by prefix, in pages and without deleted rows', () => {
    const table = createTable();
    ['b2', 'a1', 'b1', 'b3'].forEach((name, index) => table.apply(createRow(name, index + 1)));
    table.apply(createRow('b2', 9, true));
    const listNames = (after: string, limit: number) =>
      table.getRows('adapters', 'b', after, limit).map((row) => row.name);
    expect(listNames('', 1)).to.deep.equal(['b1']);
    expect(listNames('b1', 5)).to.deep.equal(['b3']);
  });

  it('resolves a version by name, or else by weight and a random draw', () => {
    expect(resolveVersion(rowValue, 'v2', 0)).to.equal('v2');
    expect(resolveVersion(rowValue, 'v9', 0)).to.equal(undefined);
    expect(resolveVersion(rowValue, undefined, 0.1)).to.equal('v1');
    expect(resolveVersion(rowValue, undefined, 0.9)).to.equal('v2');
    const zeroWeights = {
      ...rowValue,
      versions: rowValue.versions.map((version) => ({ ...version, weight: 0 })),
    };
    expect(resolveVersion(zeroWeights, undefined, 0.9)).to.equal('v1');
  });

  it('reports each invalid field of a row', () => {
    const parsed = tryParseRowValue('adapters', { ...rowValue, weight: -1, team: '' });
    expect(parsed.ok ? [] : parsed.error.map((message) => message.split(':')[0])).to.deep.equal([
      'team',
      'weight',
    ]);
    const unknownVersion = tryParseRowValue('adapters', { ...rowValue, currentVersion: 'v9' });
    expect(unknownVersion.ok).to.equal(false);
  });
});
