import type { MiddlewareHandler } from 'hono';
import type EntryContext from './EntryContext';
import createRefusalResponse from './createRefusalResponse';

const ISOLATED_RETRY_AFTER_MS = 1000;

/**
 * Creates a filter that refuses requests while this VM can't confirm that its table is in force.
 * Other VMs may be able to confirm theirs, so the caller may retry there.
 */
export default function createTrustFilter(
  isTrusted: () => boolean,
): MiddlewareHandler<EntryContext> {
  return async (context, next) =>
    isTrusted()
      ? next()
      : createRefusalResponse('isolated', context.get('ran'), ISOLATED_RETRY_AFTER_MS);
}
