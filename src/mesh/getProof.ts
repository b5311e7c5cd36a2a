import { createHmac } from 'node:crypto';

/** Returns an HMAC with the cluster key over both ends' addresses and nonces, in hexadecimal. */
export default function getProof(
  clusterKey: string,
  role: 'dialer' | 'acceptor',
  binding: { from: string; to: string; dialerNonce: string; acceptorNonce: string },
): string {
  return createHmac('sha256', clusterKey)
    .update([role, binding.from, binding.to, binding.dialerNonce, binding.acceptorNonce].join('\n'))
    .digest('hex');
}
