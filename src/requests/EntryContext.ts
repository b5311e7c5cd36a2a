import type { IncomingMessage } from 'node:http';
import type Client from './Client';

/** What the filters of a request pass on to those after them. */
interface EntryContext {
  /** Node's own request, where the filter chain runs behind a Node server. */
  Bindings: { incoming?: IncomingMessage } | undefined;
  Variables: {
    requestId: string;
    receivedAt: number;
    client: Client;
    /** The body as text, read within the limits of size and time. */
    text: string;
    /** Set once a key may stand for an earlier call: refusals then can't say "not run". */
    ran: 'no' | 'unknown';
  };
}

export default EntryContext;
