import { createHash, timingSafeEqual } from 'node:crypto';

/** Compares two secrets in a time that does not depend on where they differ. */
export default function isSameSecret(left: string, right: string): boolean {
  const digest = (text: string) => createHash('sha256').update(text).digest();
  return timingSafeEqual(digest(left), digest(right));
}
