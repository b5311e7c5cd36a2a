import type { MiddlewareHandler } from 'hono';
import type EntryContext from './EntryContext';
import createRefusalResponse from './createRefusalResponse';

const ISOLATED_RETRY_AFTER_MS = 1000;

/** Refuses work while this VM can't know that its table is in force: others can. */
export default function createTrustFilter(
  isTrusted: () => boolean,
): MiddlewareHandler<EntryContext> {
  return async (context, next) =>
    isTrusted()
      ? next()
      : createRefusalResponse('isolated', context.get('ran'), ISOLATED_RETRY_AFTER_MS);
}
