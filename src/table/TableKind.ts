/** The three sheets of the configuration table. */
const TableKind = ['adapters', 'upstreams', 'teams'] as const;
type TableKind = (typeof TableKind)[number];

export default TableKind;
