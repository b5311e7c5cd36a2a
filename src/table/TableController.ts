import type createTableController from './createTableController';

/** The controller that keeps the table as the platform has it. */
type TableController = ReturnType<typeof createTableController>;

export default TableController;
