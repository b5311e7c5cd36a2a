import type Row from './Row';
import type TableKind from './TableKind';

/** What an operator asks for. `ifRevision` 0 means that the row must not exist yet. */
interface TableEdit {
  kind: TableKind;
  name: string;
  /** Undefined deletes the row. */
  value: Row['value'];
  ifRevision: number;
}

export default TableEdit;
