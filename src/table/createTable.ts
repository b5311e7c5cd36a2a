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
 * Replica of the configuration table. Rows only move forward: an edit with a lower revision than
 * the row that is here changes nothing.
 */
export default function createTable() {
  const sheets: Record<TableKind, Map<string, Row>> = {
    adapters: new Map(),
    upstreams: new Map(),
    teams: new Map(),
  };
  const names: Record<TableKind, string[] | undefined> = {
    adapters: undefined,
    upstreams: undefined,
    teams: undefined,
  };
  let revision = 0;
  let changes = 0;

  /** Takes a row in when it is newer; says whether it was. */
  function apply(row: Row): boolean {
    const sheet = sheets[row.kind];
    const present = sheet.get(row.name);
    if (present && present.revision >= row.revision) {
      return false;
    }
    if (!present) {
      names[row.kind] = undefined;
    }
    sheet.set(row.name, row);
    changes += 1;
    return true;
  }

  /** Notes that every edit up to a revision is here; a lower one changes nothing. */
  function confirmRevision(upTo: number): void {
    revision = Math.max(revision, upTo);
  }

  function tryGetRow(kind: TableKind, name: string): Row | undefined {
    return sheets[kind].get(name);
  }

  function tryGetValue<Kind extends TableKind>(
    kind: Kind,
    name: string,
  ): ValueByKind[Kind] | undefined {
    return sheets[kind].get(name)?.value as ValueByKind[Kind] | undefined;
  }

  function getRows(kind: TableKind, prefix = '', after = '', limit = Infinity): Row[] {
    names[kind] ??= [...sheets[kind].keys()].sort();
    const found: Row[] = [];
    const start = getFirstIndexAfter(names[kind], after);
    for (let index = start; index < names[kind].length && found.length < limit; index += 1) {
      const row = sheets[kind].get(names[kind][index])!;
      if (row.value && row.name.startsWith(prefix)) {
        found.push(row);
      }
    }
    return found;
  }

  function forEachRowSince(since: number, visit: (row: Row) => void): void {
    Object.values(sheets).forEach((sheet) =>
      sheet.forEach((row) => {
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
    /** The revision up to which every accepted edit is known here. */
    getRevision: () => revision,
    /** Counts the rows taken in, for caches that are derived from the table. */
    getChangeCount: () => changes,
  };
}

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
