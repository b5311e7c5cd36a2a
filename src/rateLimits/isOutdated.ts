import type LimitStatement from './LimitStatement';

/**
 * Returns whether a statement says nothing more once another one of the same upstream is known: it
 * comes from an earlier incarnation, or was made before. If the order is unknown, because requests
 * overlapped, the higher limit is taken to be the outdated one.
 */
export default function isOutdated(statement: LimitStatement, other: LimitStatement): boolean {
  if (statement.startedAt !== other.startedAt) {
    return statement.startedAt < other.startedAt;
  }
  if (statement.madeBefore <= other.madeAfter) {
    return true;
  }
  if (other.madeBefore <= statement.madeAfter) {
    return false;
  }
  return (statement.perSecond ?? Infinity) >= (other.perSecond ?? Infinity);
}
