/** The kinds of rows in the configuration table. Names are unique within a kind. */
const TableKind = ['adapters', 'upstreams', 'teams'] as const;
type TableKind = (typeof TableKind)[number];

export default TableKind;
