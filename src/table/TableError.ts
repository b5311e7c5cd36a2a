import type Row from './Row';

/** Why an edit of the table was not accepted. Only `unknown` leaves open whether it took effect. */
type TableError =
  { kind: 'conflict'; current: Row | undefined } | { kind: 'unavailable' } | { kind: 'unknown' };

export default TableError;
