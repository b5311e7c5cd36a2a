import type Upstream from '../upstream/Upstream';
import type Obstacle from './Obstacle';
import type ReadinessSource from './ReadinessSource';

/**
 * Asks all sources what they hold against sending a request to an upstream. All binding obstacles must
 * have ended before it gets one.
 */
export default function createObstacles(sources: readonly ReadinessSource[]) {
  const getObstacles = (now: number, upstream: Upstream): Obstacle[] =>
    sources.flatMap((getObstacle) => getObstacle(now, upstream) ?? []);

  return {
    /** Returns whether a request may be sent to an upstream now. */
    isOpen: (now: number, upstream: Upstream) =>
      getObstacles(now, upstream).every(({ isBinding }) => !isBinding),
    /** Returns whether an upstream gets requests only if no other one is left. */
    isAvoided: (now: number, upstream: Upstream) =>
      getObstacles(now, upstream).some(({ isBinding }) => !isBinding),
    /** Returns the time until an obstacle of a kind ends; Infinity if that is not known. */
    getEndsInMs: (now: number, upstream: Upstream, kind: Obstacle['kind']) =>
      getObstacles(now, upstream).find((obstacle) => obstacle.kind === kind)?.endsInMs ?? Infinity,
    has: (now: number, upstream: Upstream, kind: Obstacle['kind']) =>
      getObstacles(now, upstream).some((obstacle) => obstacle.kind === kind),
  };
}
