import type Row from './Row';

/**
 * Reason why an edit of the table was not confirmed. `conflict`: a row does not have the expected
 * revision; `current` is that row, undefined if it does not exist. `unavailable`: the edit did not
 * take effect. `unknown`: the edit may have taken effect.
 */
type TableError =
  { kind: 'conflict'; current: Row | undefined } | { kind: 'unavailable' } | { kind: 'unknown' };

export default TableError;
