import type { IncomingMessage } from 'node:http';
import type Client from './Client';

/** Hono context of a request. Each filter stores values in it for the handlers that follow. */
interface EntryContext {
  /** The Node request, if the filter chain runs behind a Node server. */
  Bindings: { incoming?: IncomingMessage } | undefined;
  Variables: {
    requestId: string;
    receivedAt: number;
    client: Client;
    /** The body as text, within the limits of size and time. */
    text: string;
    /**
     * The `ran` value for refusals before a call's key is looked up. It is `unknown` if the request
     * has an idempotency key, because an earlier call with this key may have run.
     */
    ran: 'no' | 'unknown';
  };
}

export default EntryContext;
