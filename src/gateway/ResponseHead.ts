import type StatedLimit from './StatedLimit';
import type StatedLoad from './StatedLoad';
import type StatedRest from './StatedRest';

/** Status and headers of an upstream's response. */
interface ResponseHead {
  status: number;
  /** Headers that are forwarded to the caller. */
  headers: [string, string][];
  /** Id of the request that the response belongs to. */
  id: string | undefined;
  /** Whether the upstream states that it did not run the request. */
  isNotRun: boolean;
  limit: StatedLimit;
  /** Whether the upstream states that it leaves. */
  isLeaving: boolean;
  rest: StatedRest;
  /** Whether the upstream states that it ends if it has to turn many requests away. */
  isBrittle: boolean;
  /** Undefined if the upstream states no load, or one that can't be read. */
  load: StatedLoad | undefined;
}

export default ResponseHead;
