import { createHash, timingSafeEqual } from 'node:crypto';

/**
 * Returns whether two secrets are equal. The comparison takes the same time wherever they differ,
 * so that its duration reveals nothing about the secret.
 */
export default function isSameSecret(left: string, right: string): boolean {
  const digest = (text: string) => createHash('sha256').update(text).digest();
  return timingSafeEqual(digest(left), digest(right));
}
