import { createHash } from 'node:crypto';

/** Returns the signature that a server adds to its response to a request. */
export default function sign(requestId: string, serverId: string): string {
  return createHash('sha256').update(`${requestId}|${serverId}`).digest('hex').slice(0, 16);
}
