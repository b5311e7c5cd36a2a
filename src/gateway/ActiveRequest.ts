import type Grant from '../allowances/Grant';
import type Organisation from '../manifest/Organisation';
import type Route from '../manifest/Route';
import type ResponseFraming from '../upstream/ResponseFraming';
import type CallerRequest from './CallerRequest';
import type ResponseWriter from './ResponseWriter';

/** A request that this VM is serving. */
interface ActiveRequest {
  callerRequest: CallerRequest;
  route: Route;
  /** Undefined if callers need no key, and on a public route without a known one. */
  organisation?: Organisation;
  service: string;
  /** What the request uses of its organisation's allowance; undefined if that has none. */
  allowance?: Extract<Grant, { kind: 'granted' }>;
  response: ResponseWriter;
  arrivedAt: number;
  deadlineAt: number;
  /**
   * Software version of the upstream at which the stream began, and at which alone it goes on; undefined
   * before its first event. See `getSoftwareVersion`.
   */
  softwareVersion: string | undefined;
  /** Whether the status line and headers have been written to the caller. */
  isHeadWritten: boolean;
  /** Id of the last event written to the caller; set only for streams that may be resumed. */
  lastEventId: number | undefined;
  /** Framing of the upstream's newest response; undefined before its head. */
  framing: ResponseFraming | undefined;
  /** Bytes that followed the last complete event when the newest stream ended. */
  partialEventBytes: number;
  firstByteAt: number | undefined;
  lastByteAt: number | undefined;
  /** Total time spent waiting for the adapter to be loaded. */
  loadWaitMs: number;
  /** Total time spent waiting for prefill permissions of engines. */
  prefillWaitMs: number;
  /** Longest time between two chunks of the response body. */
  longestPauseMs: number;
  /** Whether events were written that came by way of another VM. */
  isBegunElsewhere: boolean;
  isCallerGone: boolean;
  /** Whether this VM exits before the request can end. */
  isStopped: boolean;
  /** Aborts the wait or attempt in progress: the caller has disconnected, or this VM exits. */
  abort: () => void;
  /** Ends the attempt in progress as one without a response; it can then be made elsewhere. */
  giveUp: () => void;
}

export default ActiveRequest;
