import type createTable from './createTable';

/** A replica of the configuration table. */
type Table = ReturnType<typeof createTable>;

export default Table;
