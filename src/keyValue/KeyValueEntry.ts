/** One key of the platform's key-value service. Revisions are the service's own. */
interface KeyValueEntry {
  key: string;
  value: string;
  createRevision: number;
  modRevision: number;
}

export default KeyValueEntry;
