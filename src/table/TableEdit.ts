import type Row from './Row';
import type TableKind from './TableKind';

/**
 * An edit of one row that an operator requests. The edit is refused unless the row has revision
 * `ifRevision`; 0 means that the row must not exist yet.
 */
interface TableEdit {
  kind: TableKind;
  name: string;
  /** New value; undefined deletes the row. */
  value: Row['value'];
  ifRevision: number;
}

export default TableEdit;
