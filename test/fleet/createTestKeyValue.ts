import type RoutedEntryHost from '../../src/entry/RoutedEntryHost';
import type Clock from '../../src/shared/Clock';
import type createKeyValueStore from '../../standins/platform/createKeyValueStore';
import type KeyValueFault from './KeyValueFault';

const CALL_MS = 4;
const SILENCE_MS = 1000;

/** Creates one VM's client of the fake key-value service. */
export default function createTestKeyValue(
  host: Clock & { getFault(): KeyValueFault },
  parts: { store: ReturnType<typeof createKeyValueStore>; writtenKeys: string[] },
): RoutedEntryHost['keyValue'] {
  const call = async <Value>(handle: () => Value) => {
    const fault = host.getFault();
    await wait(fault === 'silent' ? SILENCE_MS : CALL_MS);
    if (fault !== 'none') {
      return { ok: false as const, error: { kind: 'notDone' as const, reason: fault } };
    }
    return { ok: true as const, value: handle() };
  };
  return {
    list: () =>
      call(() => ({
        revision: parts.store.getRevision(),
        more: false,
        changes: parts.store
          .getEntries('')
          .map(({ key, revision, value }) => ({ key, revision, value })),
      })),
    follow: async ({ afterRevision, waitMs }) => {
      const until = host.now() + waitMs;
      while (parts.store.tryGetChanges('', afterRevision)?.length === 0 && host.now() < until) {
        await Promise.race([
          wait(until - host.now()),
          new Promise<void>((resolve) => {
            parts.store.onNextChange(resolve);
          }),
        ]);
      }
      const result = await call(() => parts.store.tryGetChanges('', afterRevision));
      if (!result.ok || !result.value) {
        return result.ok ? { ok: false, error: { kind: 'compacted' } } : result;
      }
      const changes = result.value.map(({ key, revision, entry }) => ({
        key,
        revision,
        value: entry?.value,
      }));
      return { ok: true, value: { revision: parts.store.getRevision(), changes } };
    },
    transact: ({ compare, writes }) =>
      call(() => {
        parts.writtenKeys.push(...writes.map(({ key }) => key));
        const revision = parts.store.writeIf(
          compare.map(({ key, modRevision }) => ({ key, revision: modRevision })),
          {
            puts: writes
              .filter((write) => write.kind === 'put')
              .map(({ key, value, lease }) => ({ key, value, lease: Number(lease ?? 0) })),
            removes: writes.filter((write) => write.kind === 'delete').map(({ key }) => key),
          },
        );
        return { succeeded: revision !== undefined, revision: revision ?? 0, read: [] };
      }),
    grantLease: (ttlSeconds) =>
      call(() => String(parts.store.grantLease(host.now(), ttlSeconds * 1000))),
    keepLeaseAlive: (lease) =>
      call(() => (parts.store.renewLease(host.now(), Number(lease)) ? 1 : 0)),
    revokeLease: (lease) => call(() => parts.store.revokeLease(Number(lease))),
  };

  function wait(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      host.setTimer(delayMs, resolve);
    });
  }
}
