import type Upstream from '../upstream/Upstream';
import type Obstacle from './Obstacle';

/** Returns what one source of knowledge holds against sending a request to an upstream now. */
interface ReadinessSource {
  (now: number, upstream: Upstream): Obstacle | undefined;
  /** The only kind of obstacle that it returns; undefined if it may return others. */
  onlyKind?: Obstacle['kind'];
}

export default ReadinessSource;
