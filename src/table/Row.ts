import type AdapterRow from './AdapterRow';
import type TableKind from './TableKind';
import type TeamRow from './TeamRow';
import type UpstreamRow from './UpstreamRow';

/**
 * A row as replicas keep it. `revision` is the platform's revision of its last edit. A deleted row
 * stays as a marker without value, so that a late copy of the older row can't bring it back.
 */
interface Row<Value = AdapterRow | UpstreamRow | TeamRow> {
  kind: TableKind;
  name: string;
  revision: number;
  /** Identifier of the edit, by which a writer knows its own after a lost answer. */
  edit: string;
  value: Value | undefined;
}

export default Row;
