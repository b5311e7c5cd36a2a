import type { MiddlewareHandler } from 'hono';
import type createAuthenticator from './createAuthenticator';
import type EntryContext from './EntryContext';
import getRefusal from './getRefusal';

/** Lets only known callers and operators through. */
export default function createAuthenticateFilter(
  tryAuthenticate: ReturnType<typeof createAuthenticator>,
  kinds: readonly ('caller' | 'operator')[],
): MiddlewareHandler<EntryContext> {
  return async (context, next) => {
    const client = tryAuthenticate(context.req.header('authorization'));
    if (!client || !kinds.includes(client.kind)) {
      return getRefusal('unauthenticated');
    }
    context.set('client', client);
    return next();
  };
}
