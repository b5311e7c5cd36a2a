import type Upstream from '../upstream/Upstream';
import type Obstacle from './Obstacle';

/** Returns what one source of knowledge holds against sending a request to an upstream now. */
type ReadinessSource = (now: number, upstream: Upstream) => Obstacle | undefined;

export default ReadinessSource;
