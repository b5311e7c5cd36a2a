import type { MiddlewareHandler } from 'hono';
import type createAuthenticator from './createAuthenticator';
import type EntryContext from './EntryContext';
import createRefusalResponse from './createRefusalResponse';

/**
 * Creates a filter that stores the sender of a request in its context, and refuses requests without
 * a valid secret or from other kinds of clients than `allowedKinds`.
 */
export default function createAuthenticateFilter(
  tryAuthenticate: ReturnType<typeof createAuthenticator>,
  allowedKinds: readonly ('caller' | 'operator')[],
): MiddlewareHandler<EntryContext> {
  return async (context, next) => {
    const client = tryAuthenticate(context.req.header('authorization'));
    if (!client || !allowedKinds.includes(client.kind)) {
      return createRefusalResponse('unauthenticated');
    }
    context.set('client', client);
    return next();
  };
}
