import type AdapterRow from './AdapterRow';
import type TableKind from './TableKind';
import type TeamRow from './TeamRow';
import type UpstreamRow from './UpstreamRow';

/**
 * A row of the configuration table as replicas store it. `revision` is the key-value service's
 * revision of the last edit. A deleted row remains as a tombstone without a value, so that a
 * delayed copy of an older revision cannot restore it.
 */
interface Row<Value = AdapterRow | UpstreamRow | TeamRow> {
  kind: TableKind;
  name: string;
  revision: number;
  /** Id of the edit; the writer identifies its own edit by it if the response was lost. */
  edit: string;
  value: Value | undefined;
}

export default Row;
