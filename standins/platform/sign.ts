import { createHash } from 'node:crypto';

/** The receipt that a server puts on its answer to a request. */
export default function sign(request: string, server: string): string {
  return createHash('sha256').update(`${request}|${server}`).digest('hex').slice(0, 16);
}
