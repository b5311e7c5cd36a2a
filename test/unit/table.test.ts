import { expect } from 'chai';
import createTable from '../../src/table/createTable';
import resolveVersion from '../../src/table/resolveVersion';
import type AdapterRow from '../../src/table/AdapterRow';
import tryParseRowValue from '../../src/table/tryParseRowValue';

const value = {
  team: 'atelier',
  baseModel: 'base',
  versions: [
    { name: 'v1', weight: 1 },
    { name: 'v2', weight: 3 },
  ],
  currentVersion: 'v1',
} as AdapterRow;

function getRow(name: string, revision: number, isDeleted = false) {
  const kept = isDeleted ? undefined : value;
  return { kind: 'adapters' as const, name, revision, edit: 'e', value: kept };
}

describe('table', () => {
  it('never goes back to an older row, nor brings back a deleted one', () => {
    const table = createTable();
    expect(table.apply(getRow('a', 5))).to.equal(true);
    expect(table.apply(getRow('a', 4))).to.equal(false);
    expect(table.apply(getRow('a', 6, true))).to.equal(true);
    expect(table.apply(getRow('a', 5))).to.equal(false);
    expect(table.tryGetValue('adapters', 'a')).to.equal(undefined);
  });

  it('lists rows by prefix, page after page, without deleted ones', () => {
    const table = createTable();
    ['b2', 'a1', 'b1', 'b3'].forEach((name, index) => table.apply(getRow(name, index + 1)));
    table.apply(getRow('b2', 9, true));
    const names = (after: string, limit: number) =>
      table.getRows('adapters', 'b', after, limit).map((row) => row.name);
    expect(names('', 1)).to.deep.equal(['b1']);
    expect(names('b1', 5)).to.deep.equal(['b3']);
  });

  it('resolves versions by name, weight and draw', () => {
    expect(resolveVersion(value, 'v2', 0)).to.equal('v2');
    expect(resolveVersion(value, 'v9', 0)).to.equal(undefined);
    expect(resolveVersion(value, undefined, 0.1)).to.equal('v1');
    expect(resolveVersion(value, undefined, 0.9)).to.equal('v2');
    const drained = { ...value, versions: value.versions.map((v) => ({ ...v, weight: 0 })) };
    expect(resolveVersion(drained, undefined, 0.9)).to.equal('v1');
  });

  it('reports every fault of a row by its field', () => {
    const parsed = tryParseRowValue('adapters', { ...value, weight: -1, team: '' });
    expect(parsed.ok ? [] : parsed.error.map((fault) => fault.split(':')[0])).to.deep.equal([
      'team',
      'weight',
    ]);
    const wrong = tryParseRowValue('adapters', { ...value, currentVersion: 'v9' });
    expect(wrong.ok).to.equal(false);
  });
});
