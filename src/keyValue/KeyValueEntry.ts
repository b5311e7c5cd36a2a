/** A key and its value in the platform's key-value service, with the service's revisions. */
interface KeyValueEntry {
  key: string;
  value: string;
  createRevision: number;
  modRevision: number;
}

export default KeyValueEntry;
