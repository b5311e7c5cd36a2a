import type Route from '../manifest/Route';
import type CallerRequest from './CallerRequest';
import type ResponseWriter from './ResponseWriter';

/** A request in progress. */
interface ActiveRequest {
  call: CallerRequest;
  route: Route;
  service: string;
  reply: ResponseWriter;
  arrivedAt: number;
  deadlineAt: number;
  /** Whether the caller has a status line and headers. */
  isHeadWritten: boolean;
  /** Last event that the caller has of a stream that may be resumed. */
  lastEventId: number | undefined;
  firstByteAt: number | undefined;
  lastByteAt: number | undefined;
  /** Time spent waiting for turns at engines. */
  turnMs: number;
  /** Longest wait between two pieces of a stream's answer. */
  longestPauseMs: number;
  isCallerGone: boolean;
  /** Ends what is under way now, since the caller has left. */
  leave: () => void;
}

export default ActiveRequest;
