import type { MiddlewareHandler } from 'hono';
import type Clock from '../shared/Clock';
import type EntryContext from './EntryContext';
import getRefusal from './getRefusal';
import readBody from './readBody';
import readIncoming from './readIncoming';

/** Reads the body, and refuses one that is too large or too slow. */
export default function createBodyFilter(
  time: Clock,
  limits: { maxBytes: number; timeoutMs: number },
): MiddlewareHandler<EntryContext> {
  return async (context, next) => {
    const incoming = context.env?.incoming;
    const isOversize = Number(context.req.header('content-length') ?? 0) > limits.maxBytes;
    if (isOversize) {
      return getRefusal('oversize');
    }
    const body = incoming
      ? await readIncoming(time, incoming, limits)
      : await readBody(time, context.req.raw, limits);
    if (!body.ok) {
      return getRefusal(body.error);
    }
    context.set('text', body.value.toString());
    return next();
  };
}
