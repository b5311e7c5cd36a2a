import type KeyValue from '../keyValue/KeyValue';
import type KeyValueEntry from '../keyValue/KeyValueEntry';
import getPrefixEnd from '../keyValue/getPrefixEnd';
import OwnerRecord from './OwnerRecord';

const OWNER_PREFIX = '/baobablink/owners/';

interface KnownRecord {
  record: OwnerRecord;
  revision: number;
}

/** The platform's records of ownership, as far as this VM has read or written them. */
export default function createOwnerRecords(keyValue: KeyValue) {
  const records = new Map<string, KnownRecord>();

  /** Reads all records; false when the platform did not answer. */
  async function readAll(): Promise<boolean> {
    const rangeEnd = getPrefixEnd(OWNER_PREFIX);
    const answer = await keyValue.range({ key: OWNER_PREFIX, rangeEnd });
    if (answer.ok) {
      answer.value.entries.forEach(note);
    }
    return answer.ok;
  }

  /** Reads one record anew; undefined when the platform did not answer. */
  async function tryRead(name: string): Promise<KnownRecord | undefined> {
    const answer = await keyValue.range({ key: `${OWNER_PREFIX}${name}` });
    if (!answer.ok) {
      return undefined;
    }
    answer.value.entries.forEach(note);
    return records.get(name);
  }

  /** An answer can be older than what this VM has written or read since; then it is dropped. */
  function note(entry: KeyValueEntry): void {
    const name = entry.key.slice(OWNER_PREFIX.length);
    if (entry.modRevision >= (records.get(name)?.revision ?? 0)) {
      const record = OwnerRecord.parse(JSON.parse(entry.value));
      records.set(name, { record, revision: entry.modRevision });
    }
  }

  /** Writes a record if it still has a revision; answers the new revision when it went in. */
  async function tryWrite(
    name: string,
    record: OwnerRecord,
    ifRevision: number,
  ): Promise<number | undefined> {
    const key = `${OWNER_PREFIX}${name}`;
    const answer = await keyValue.transact({
      compare: [{ key, modRevision: ifRevision }],
      writes: [{ kind: 'put', key, value: JSON.stringify(record) }],
      readOnFailure: [key],
    });
    if (answer.ok && answer.value.succeeded) {
      records.set(name, { record, revision: answer.value.revision });
      return answer.value.revision;
    }
    return undefined;
  }

  return { readAll, tryRead, tryWrite, tryGet: (name: string) => records.get(name) };
}
