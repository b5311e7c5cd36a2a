import type KeyValue from '../keyValue/KeyValue';
import type KeyValueEntry from '../keyValue/KeyValueEntry';
import getPrefixEnd from '../keyValue/getPrefixEnd';
import OwnerRecord from './OwnerRecord';

const OWNER_PREFIX = '/baobablink/owners/';

interface StoredRecord {
  record: OwnerRecord;
  revision: number;
}

/** Reads and writes ownership records, and caches those that this VM has read or written. */
export default function createOwnerRecords(keyValue: KeyValue) {
  const records = new Map<string, StoredRecord>();

  /** Reads all records. Returns false if the key-value service could not be read. */
  async function readAll(): Promise<boolean> {
    const rangeEnd = getPrefixEnd(OWNER_PREFIX);
    const response = await keyValue.range({ key: OWNER_PREFIX, rangeEnd });
    if (response.ok) {
      response.value.entries.forEach(storeEntry);
    }
    return response.ok;
  }

  /**
   * Reads one record again. Returns the cached record, or undefined if the read failed or none is
   * cached.
   */
  async function tryRead(name: string): Promise<StoredRecord | undefined> {
    const response = await keyValue.range({ key: `${OWNER_PREFIX}${name}` });
    if (!response.ok) {
      return undefined;
    }
    response.value.entries.forEach(storeEntry);
    return records.get(name);
  }

  /** Caches a record, unless this VM has read or written a newer revision in the meantime. */
  function storeEntry(entry: KeyValueEntry): void {
    const name = entry.key.slice(OWNER_PREFIX.length);
    if (entry.modRevision >= (records.get(name)?.revision ?? 0)) {
      const record = OwnerRecord.parse(JSON.parse(entry.value));
      records.set(name, { record, revision: entry.modRevision });
    }
  }

  /**
   * Writes a record if its revision is still `ifRevision`. Returns the new revision, or undefined
   * if the write failed.
   */
  async function tryWrite(
    name: string,
    record: OwnerRecord,
    ifRevision: number,
  ): Promise<number | undefined> {
    const key = `${OWNER_PREFIX}${name}`;
    const response = await keyValue.transact({
      compare: [{ key, modRevision: ifRevision }],
      writes: [{ kind: 'put', key, value: JSON.stringify(record) }],
      readOnFailure: [key],
    });
    if (response.ok && response.value.succeeded) {
      records.set(name, { record, revision: response.value.revision });
      return response.value.revision;
    }
    return undefined;
  }

  return { readAll, tryRead, tryWrite, tryGet: (name: string) => records.get(name) };
}
