import type createHeldBytes from '../clientLimits/createHeldBytes';
import type Clock from '../shared/Clock';
import getResponseFraming from '../upstream/getResponseFraming';
import type ResponseHandler from '../upstream/ResponseHandler';
import type ResponseHead from './ResponseHead';
import type AttemptOutcome from './AttemptOutcome';
import createEventSplitter from './createEventSplitter';
import createSilenceTimer from './createSilenceTimer';
import type ActiveRequest from './ActiveRequest';

const MIN_SUCCESS_STATUS = 200;
/** Status of a response whose events can follow those of an earlier response. */
const CONTINUATION_STATUS = 200;
const MIN_REDIRECT_STATUS = 300;
const MIN_SERVER_ERROR_STATUS = 500;
const EVENT_STREAM_TYPE = 'text/event-stream';
/**
 * A larger body is forwarded while it arrives, so that it does not fill the memory; an event or the
 * body of a failure that is larger has no end.
 */
const MAX_BUFFERED_BYTES = 1024 * 1024;

interface AttemptHost extends Clock {
  /** The account of held bytes; undefined if responses are buffered without a common limit. */
  held?: Pick<ReturnType<typeof createHeldBytes>, 'add'>;
  /** Sends the request; returns undefined if no connection is available. */
  send(
    deadlineMs: number,
    handler: ResponseHandler,
  ): { abort(): void; pause(): void; resume(): void } | undefined;
  decodeHead(status: number, headers: Record<string, string | string[] | undefined>): ResponseHead;
  onHead(now: number, head: ResponseHead): void;
  onFirstByte(now: number, head: ResponseHead): void;
  /** Returns whether a retry is allowed, so that an upstream may be given up early (default: yes). */
  isRetryAllowed?(now: number): boolean;
  /** Called for each piece of a stream that arrives. */
  onStreamData?(now: number): void;
  /** Called before the first event of a stream that may be resumed is written to the caller. */
  onFirstEvent(now: number): void;
}

/**
 * Sends a request to one upstream and forwards its response: a stream event by event, any other
 * response once it is complete. `silenceMs` limits the time before the first byte and between
 * chunks, as long as another attempt can take this one's place.
 */
export default function sendAttempt(
  host: AttemptHost,
  request: ActiveRequest,
  silenceMs: number,
): Promise<AttemptOutcome> {
  const isContinuation = request.isHeadWritten;
  return new Promise((resolve) => {
    let splitter: ReturnType<typeof createEventSplitter> | undefined;
    let bodyChunks: Buffer[] = [];
    let bodyBytes = 0;
    let head: ResponseHead | undefined;
    let isStreaming = false;
    let isEnded = false;
    let hasBegun = false;
    let heldEntry: ReturnType<ReturnType<typeof createHeldBytes>['add']> | undefined;

    const end = (outcome: AttemptOutcome) => {
      if (isEnded) {
        return;
      }
      isEnded = true;
      Object.assign(request, { partialEventBytes: splitter?.getRemainder().length ?? 0 });
      silence.cancel();
      cancelDeadline();
      heldEntry?.release(host.now());
      Object.assign(request, { abort: () => {}, giveUp: () => {} });
      resolve(outcome);
    };
    const abortWith = (outcome: AttemptOutcome) => {
      if (!isEnded) {
        controls?.abort();
        end(outcome);
      }
    };
    const silence = createSilenceTimer(host, {
      silenceMs,
      canGiveUp: () =>
        (!request.isHeadWritten || request.route.kind === 'stream') &&
        (host.isRetryAllowed?.(host.now()) ?? true),
      onSilent: () => abortWith({ kind: 'silent' }),
    });
    const pause = () => {
      silence.pause();
      controls?.pause();
    };
    const resume = () => {
      if (!isEnded) {
        silence.resume();
      }
      controls?.resume();
    };
    const writeHead = (responseHead: ResponseHead) => {
      if (!request.isHeadWritten) {
        request.response.writeHead(responseHead.status, responseHead.headers);
        Object.assign(request, { isHeadWritten: true });
      }
    };
    const forward = (bytes: Buffer) => {
      if (bytes.length > 0 && !request.response.write(bytes)) {
        pause();
        request.response.onDrain(resume);
      }
    };
    const forwardEvents = (chunk: Buffer) => {
      splitter?.splitChunk(chunk).forEach((event) => {
        if (isContinuation && event.id === undefined && !isComment(event.bytes)) {
          abortWith({ kind: 'broken', reason: 'event without an id' });
        }
        if (isEnded) {
          return;
        }
        const isDuplicate =
          event.id !== undefined &&
          request.lastEventId !== undefined &&
          event.id <= request.lastEventId;
        if (!isDuplicate) {
          if (request.route.isResumable && request.lastEventId === undefined) {
            host.onFirstEvent(host.now());
          }
          writeHead(head!);
          forward(event.bytes);
          if (request.route.isResumable) {
            Object.assign(request, { lastEventId: event.id ?? request.lastEventId });
          }
        }
      });
    };
    const bufferBody = (responseHead: ResponseHead, chunk: Buffer) => {
      bodyChunks.push(chunk);
      bodyBytes += chunk.length;
      if (bodyBytes <= MAX_BUFFERED_BYTES) {
        heldEntry ??= host.held?.add(host.now(), 'reading', {
          maxBytes: MAX_BUFFERED_BYTES,
          getProgress: () => bodyBytes,
          pause,
          resume,
          close: (reason) => abortWith({ kind: 'lost', reason: `memory is short: ${reason}` }),
        });
        heldEntry?.setBytes(host.now(), bodyBytes);
        return;
      }
      if (!isSuccess(responseHead.status) || request.isHeadWritten) {
        abortWith({ kind: 'lost', reason: 'body too large' });
        return;
      }
      isStreaming = true;
      writeHead(responseHead);
      bodyChunks.forEach(forward);
      bodyChunks = [];
      heldEntry?.release(host.now());
    };
    const finishResponse = (responseHead: ResponseHead): AttemptOutcome => {
      if (isStreaming) {
        if (splitter?.isInsideEvent()) {
          return { kind: 'broken', reason: 'ended inside an event' };
        }
        const isResumed =
          request.lastEventId !== undefined || request.callerRequest.resumeAfter !== undefined;
        if (splitter && !hasBegun && !isResumed && request.framing === 'connection') {
          return { kind: 'lost', reason: 'ended before its first event' };
        }
        writeHead(responseHead);
        forward(splitter?.getRemainder() ?? Buffer.alloc(0));
        request.response.end();
        return { kind: 'done', status: responseHead.status };
      }
      const body = Buffer.concat(bodyChunks);
      if (responseHead.isNotRun) {
        const reason = responseHead.status === 421 ? 'otherUpstream' : 'full';
        return { kind: 'notRun', reason, head: responseHead, body };
      }
      if (responseHead.status >= MIN_SERVER_ERROR_STATUS || request.isHeadWritten) {
        return { kind: 'failed', head: responseHead, body };
      }
      writeHead(responseHead);
      request.response.end(body);
      return { kind: 'done', status: responseHead.status };
    };

    const handler: ResponseHandler = {
      onHead: (status, headers, isReused = false) => {
        const responseHead = host.decodeHead(status, headers);
        // A response without an id can be an earlier one that was sent again.
        const isOwn =
          responseHead.id === request.callerRequest.id ||
          (responseHead.id === undefined && !isReused);
        if (!isOwn) {
          abortWith({ kind: 'lost', reason: 'answer to another request' });
          return;
        }
        head = responseHead;
        host.onHead(host.now(), responseHead);
        const { method } = request.callerRequest;
        Object.assign(request, { framing: getResponseFraming(method, status, headers) });
        const canContinue =
          !isContinuation || (status === CONTINUATION_STATUS && isEventStream(headers));
        isStreaming = request.route.kind === 'stream' && isSuccess(status) && canContinue;
        splitter = isStreaming && isEventStream(headers) ? createEventSplitter() : undefined;
        silence.restart();
      },
      onData: (chunk) => {
        if (!head || isEnded) {
          return;
        }
        const now = host.now();
        if (!hasBegun || !isStreaming) {
          hasBegun = true;
          host.onFirstByte(now, head);
        }
        recordBytes(request, now);
        silence.restart();
        if (isStreaming) {
          host.onStreamData?.(now);
        }
        if (!isStreaming) {
          bufferBody(head, chunk);
          return;
        }
        if (!splitter) {
          writeHead(head);
          forward(chunk);
          return;
        }
        forwardEvents(chunk);
        if (splitter.getRemainder().length > MAX_BUFFERED_BYTES) {
          abortWith({ kind: 'broken', reason: 'event too large' });
        }
      },
      onEnd: () => {
        if (!head) {
          end({ kind: 'lost', reason: 'no answer' });
        } else if (!isEnded) {
          end(finishResponse(head));
        }
      },
      onError: (error) => {
        if (head?.isNotRun && !isEnded && !isStreaming) {
          // The head is enough: the upstream has not run the request, whatever ends the connection.
          end(finishResponse(head));
        } else if (error.kind === 'lost' && isStreaming && request.isHeadWritten) {
          end({ kind: 'broken', reason: error.reason });
        } else {
          end(error);
        }
      },
    };

    const remainingMs = request.deadlineAt - host.now();
    const cancelDeadline = host.setTimer(Math.max(0, remainingMs), () =>
      abortWith({ kind: 'deadline' }),
    );
    silence.restart();
    const controls = host.send(Math.max(1, Math.floor(remainingMs)), handler);
    Object.assign(request, {
      abort: () => abortWith({ kind: request.isCallerGone ? 'callerLeft' : 'stopped' }),
      giveUp: () => abortWith({ kind: 'silent' }),
    });
    if (!controls) {
      end({ kind: 'notSent', reason: 'noConnection' });
    }
  });
}

/** Returns whether a response consists of events: its content type says so, or is missing. */
function isEventStream(headers: Record<string, string | string[] | undefined>): boolean {
  const contentType = headers['content-type'];
  return contentType === undefined || String(contentType).startsWith(EVENT_STREAM_TYPE);
}

/** Returns whether an event consists of a comment, such as one that keeps its connection open. */
function isComment(bytes: Buffer): boolean {
  return /^[\r\n]*:/.test(bytes.toString('latin1'));
}

function isSuccess(status: number): boolean {
  return status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS;
}

function recordBytes(request: ActiveRequest, now: number): void {
  const pauseMs = now - (request.lastByteAt ?? now);
  Object.assign(request, {
    firstByteAt: request.firstByteAt ?? now,
    lastByteAt: now,
    longestPauseMs: Math.max(request.longestPauseMs, pauseMs),
  });
}
