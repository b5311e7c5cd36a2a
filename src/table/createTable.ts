import type AdapterRow from './AdapterRow';
import type Row from './Row';
import type TableKind from './TableKind';
import type TeamRow from './TeamRow';
import type UpstreamRow from './UpstreamRow';

interface ValueByKind {
  adapters: AdapterRow;
  upstreams: UpstreamRow;
  teams: TeamRow;
}

/**
 * Creates an empty replica of the configuration table. The revision of a row never decreases: a
 * copy whose revision is not higher than that of the stored row is ignored.
 */
export default function createTable() {
  const rowsByKind: Record<TableKind, Map<string, Row>> = {
    adapters: new Map(),
    upstreams: new Map(),
    teams: new Map(),
  };
  const sortedNames: Record<TableKind, string[] | undefined> = {
    adapters: undefined,
    upstreams: undefined,
    teams: undefined,
  };
  let revision = 0;
  let changeCount = 0;

  /** Stores a row if it is newer than the stored one. Returns whether it was stored. */
  function apply(row: Row): boolean {
    const rows = rowsByKind[row.kind];
    const existing = rows.get(row.name);
    if (existing && existing.revision >= row.revision) {
      return false;
    }
    if (!existing) {
      sortedNames[row.kind] = undefined;
    }
    rows.set(row.name, row);
    changeCount += 1;
    return true;
  }

  /** Records that all edits up to a revision are applied. A lower revision changes nothing. */
  function confirmRevision(upTo: number): void {
    revision = Math.max(revision, upTo);
  }

  function tryGetRow(kind: TableKind, name: string): Row | undefined {
    return rowsByKind[kind].get(name);
  }

  function tryGetValue<Kind extends TableKind>(
    kind: Kind,
    name: string,
  ): ValueByKind[Kind] | undefined {
    return rowsByKind[kind].get(name)?.value as ValueByKind[Kind] | undefined;
  }

  /** Returns the existing rows with a prefix, sorted by name, that follow the name `after`. */
  function getRows(kind: TableKind, prefix = '', after = '', limit = Infinity): Row[] {
    sortedNames[kind] ??= [...rowsByKind[kind].keys()].sort();
    const found: Row[] = [];
    const start = getFirstIndexAfter(sortedNames[kind], after);
    for (let index = start; index < sortedNames[kind].length && found.length < limit; index += 1) {
      const row = rowsByKind[kind].get(sortedNames[kind][index])!;
      if (row.value && row.name.startsWith(prefix)) {
        found.push(row);
      }
    }
    return found;
  }

  /** Calls `visit` for each row with a revision above `since`, including tombstones. */
  function forEachRowSince(since: number, visit: (row: Row) => void): void {
    Object.values(rowsByKind).forEach((rows) =>
      rows.forEach((row) => {
        if (row.revision > since) {
          visit(row);
        }
      }),
    );
  }

  return {
    apply,
    confirmRevision,
    tryGetRow,
    tryGetValue,
    getRows,
    forEachRowSince,
    /** Returns the revision up to which all accepted edits are applied. */
    getRevision: () => revision,
    /** Returns the number of rows stored so far, by which derived caches detect changes. */
    getChangeCount: () => changeCount,
  };
}

/** Returns the index of the first name after `after`, or 0 if `after` is empty. */
function getFirstIndexAfter(sorted: readonly string[], after: string): number {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (sorted[middle] <= after && after !== '') {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}
