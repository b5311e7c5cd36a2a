import type Mirror from './Mirror';

/** Reads the keys under a prefix from the copy of the store, as a call to the store would. */
export default function readRange(mirror: Pick<Mirror, 'getRevision' | 'getAll'>, prefix: string) {
  const entries = mirror.getAll(prefix).map((entry) => ({
    key: entry.key,
    value: entry.value!,
    createRevision: entry.revision,
    modRevision: entry.revision,
  }));
  return { ok: true as const, value: { revision: mirror.getRevision(), more: false, entries } };
}
