import { match, P } from 'ts-pattern';
import type DecodedChange from './DecodedChange';

/**
 * Returns whether a change takes back what an operator or an upstream had confirmed: after a restore
 * of the key-value service, until it is written again.
 */
export default function isOutdated(change: DecodedChange, known: DecodedChange): boolean {
  return match([known, change])
    .with([{ kind: 'manifest' }, { kind: 'manifest' }], ([before, after]) => {
      const knownVersion = before.manifest?.version;
      return knownVersion !== undefined && !((after.manifest?.version ?? -1) >= knownVersion);
    })
    .with(
      [{ kind: 'version' }, { kind: 'version' }],
      ([before, after]) => after.version < before.version,
    )
    .with([{ kind: 'upstream' }, { kind: 'upstream' }], ([{ upstream: before }, after]) =>
      before && after.upstream
        ? after.upstream.startedAt < before.startedAt ||
          (after.upstream.startedAt === before.startedAt &&
            before.state === 'leaving' &&
            after.upstream.state === 'ready')
        : false,
    )
    .with([P.union({ kind: 'manifest' }, { kind: 'version' }), { kind: 'other' }], () => true)
    .otherwise(() => false);
}
