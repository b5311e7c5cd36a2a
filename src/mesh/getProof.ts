import { createHmac } from 'node:crypto';

/** Returns the proof that the sender holds the cluster key, bound to both ends and their nonces. */
export default function getProof(
  clusterKey: string,
  side: 'dialer' | 'acceptor',
  hello: { from: string; to: string; dialerNonce: string; acceptorNonce: string },
): string {
  return createHmac('sha256', clusterKey)
    .update([side, hello.from, hello.to, hello.dialerNonce, hello.acceptorNonce].join('\n'))
    .digest('hex');
}
