import type { MiddlewareHandler } from 'hono';
import type createAuthenticator from './createAuthenticator';
import type EntryContext from './EntryContext';
import createRefusalResponse from './createRefusalResponse';

/** Lets only known callers and operators through. */
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
