import type createTableController from './createTableController';

/**
 * Keeps this VM's replica of the table up to date with the key-value service, and edits the table.
 */
type TableController = ReturnType<typeof createTableController>;

export default TableController;
