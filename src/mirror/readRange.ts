import type Mirror from './Mirror';

/**
 * Returns the keys under a prefix from the mirror, in the form of a range response of the key-value
 * service.
 */
export default function readRange(mirror: Pick<Mirror, 'getRevision' | 'getAll'>, prefix: string) {
  const entries = mirror.getAll(prefix).map((entry) => ({
    key: entry.key,
    value: entry.value!,
    createRevision: entry.revision,
    modRevision: entry.revision,
  }));
  return { ok: true as const, value: { revision: mirror.getRevision(), more: false, entries } };
}
