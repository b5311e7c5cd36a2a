import type Upstream from '../upstream/Upstream';
import type Obstacle from './Obstacle';
import type ReadinessSource from './ReadinessSource';

/**
 * Asks all sources what they hold against sending a request to an upstream. All binding obstacles must
 * have ended before it gets one.
 */
export default function createObstacles(sources: readonly ReadinessSource[]) {
  /** The sources that may return an obstacle of a kind; the other ones are not asked for it. */
  const sourcesByKind = new Map<Obstacle['kind'], ReadinessSource[]>();

  const getSources = (kind: Obstacle['kind']): ReadinessSource[] => {
    const known =
      sourcesByKind.get(kind) ??
      sources.filter(({ onlyKind }) => onlyKind === undefined || onlyKind === kind);
    sourcesByKind.set(kind, known);
    return known;
  };

  const hasObstacle = (
    now: number,
    upstream: Upstream,
    isMeant: (obstacle: Obstacle) => boolean,
    asked: readonly ReadinessSource[] = sources,
  ): boolean =>
    asked.some((getObstacle) => {
      const obstacle = getObstacle(now, upstream);
      return obstacle !== undefined && isMeant(obstacle);
    });

  return {
    /** Returns whether a request may be sent to an upstream now. */
    isOpen: (now: number, upstream: Upstream) =>
      !hasObstacle(now, upstream, ({ isBinding }) => isBinding),
    /** Returns whether an upstream gets requests only if no other one is left. */
    isAvoided: (now: number, upstream: Upstream) =>
      hasObstacle(now, upstream, ({ isBinding }) => !isBinding),
    /** Returns the time until an obstacle of a kind ends; Infinity if that is not known. */
    getEndsInMs: (now: number, upstream: Upstream, kind: Obstacle['kind']) =>
      getSources(kind)
        .map((getObstacle) => getObstacle(now, upstream))
        .find((obstacle) => obstacle?.kind === kind)?.endsInMs ?? Infinity,
    has: (now: number, upstream: Upstream, kind: Obstacle['kind']) =>
      hasObstacle(now, upstream, (obstacle) => obstacle.kind === kind, getSources(kind)),
  };
}
