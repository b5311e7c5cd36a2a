import type { MiddlewareHandler } from 'hono';
import type Clock from '../shared/Clock';
import type RefusalName from '../messages/RefusalName';
import type EntryContext from './EntryContext';
import createRefusalResponse from './createRefusalResponse';
import type BodyAccount from './BodyAccount';
import readBody from './readBody';
import readIncomingBody from './readIncomingBody';

/** Creates a filter that reads the body, and refuses one that is too large or arrives too late. */
export default function createBodyFilter(
  clock: Clock,
  limits: { maxBytes: number; timeoutMs: number },
  account?: BodyAccount,
): MiddlewareHandler<EntryContext> {
  return async (context, next) => {
    const incoming = context.env?.incoming;
    let release = () => {};
    const onRelease = (newRelease: () => void) => {
      release = newRelease;
    };
    const isOversize = Number(context.req.header('content-length') ?? 0) > limits.maxBytes;
    if (isOversize) {
      return createRefusalResponse('oversize');
    }
    const body = incoming
      ? await readIncomingBody(clock, incoming, { ...limits, ...account, onRelease })
      : await readBody(clock, context.req.raw, limits);
    if (!body.ok) {
      return createRefusalResponse(getRefusal(body.error));
    }
    context.set('text', body.value.toString());
    await next();
    release();
    return undefined;
  };
}

function getRefusal(error: 'oversize' | 'slowBody' | 'stuck' | 'overload'): RefusalName {
  return error === 'overload' ? 'queueFull' : error === 'stuck' ? 'slowBody' : error;
}
