import type Clock from '../shared/Clock';
import type ResponseHandler from '../upstream/ResponseHandler';
import type ResponseHead from './ResponseHead';
import type AttemptOutcome from './AttemptOutcome';
import createEventSplitter from './createEventSplitter';
import type ActiveRequest from './ActiveRequest';

const OK_FROM = 200;
const OK_BELOW = 300;
const SERVER_ERROR = 500;

interface AttemptHost extends Clock {
  /** Sends the request; undefined where no connection is to be had. */
  send(
    deadlineMs: number,
    exchange: ResponseHandler,
  ): { abort(): void; pause(): void; resume(): void } | undefined;
  readHead(status: number, headers: Record<string, string | string[] | undefined>): ResponseHead;
  onFirstByte(now: number, head: ResponseHead): void;
}

/**
 * Sends a request to one upstream and passes its answer on: a stream as it comes, anything else
 * once it is whole. `silenceMs` bounds the wait for the first byte and between two.
 */
export default function sendAttempt(
  host: AttemptHost,
  job: ActiveRequest,
  silenceMs: number,
): Promise<AttemptOutcome> {
  return new Promise((resolve) => {
    const splitter = job.route.isResumable ? createEventSplitter() : undefined;
    const parts: Buffer[] = [];
    let head: ResponseHead | undefined;
    let isStreaming = false;
    let isOver = false;
    let cancelSilence = () => {};

    const end = (outcome: AttemptOutcome) => {
      if (isOver) {
        return;
      }
      isOver = true;
      cancelSilence();
      cancelDeadline();
      Object.assign(job, { leave: () => {} });
      resolve(outcome);
    };
    const giveUp = (outcome: AttemptOutcome) => {
      if (!isOver) {
        controls?.abort();
        end(outcome);
      }
    };
    const expectBytes = () => {
      cancelSilence();
      cancelSilence = Number.isFinite(silenceMs)
        ? host.setTimer(silenceMs, () => giveUp({ kind: 'silent' }))
        : () => {};
    };
    const writeHead = (answer: ResponseHead) => {
      if (!job.isHeadWritten) {
        job.reply.writeHead(answer.status, answer.headers);
        Object.assign(job, { isHeadWritten: true });
      }
    };
    const pass = (bytes: Buffer) => {
      if (bytes.length > 0 && !job.reply.write(bytes)) {
        controls?.pause();
        job.reply.onDrain(() => controls?.resume());
      }
    };
    const passEvents = (chunk: Buffer) => {
      splitter!.take(chunk).forEach((event) => {
        const isKnown =
          event.id !== undefined && job.lastEventId !== undefined && event.id <= job.lastEventId;
        if (!isKnown) {
          pass(event.bytes);
          Object.assign(job, { lastEventId: event.id ?? job.lastEventId });
        }
      });
    };
    const finish = (answer: ResponseHead): AttemptOutcome => {
      if (isStreaming) {
        pass(splitter?.getRest() ?? Buffer.alloc(0));
        job.reply.end();
        return { kind: 'done', status: answer.status };
      }
      const body = Buffer.concat(parts);
      if (answer.isNotRun) {
        return { kind: 'notRun', reason: answer.status === 421 ? 'otherUpstream' : 'full' };
      }
      if (answer.status >= SERVER_ERROR || job.isHeadWritten) {
        return { kind: 'failed', head: answer, body };
      }
      writeHead(answer);
      job.reply.end(body);
      return { kind: 'done', status: answer.status };
    };

    const exchange: ResponseHandler = {
      onHead: (status, headers) => {
        const answer = host.readHead(status, headers);
        if (answer.id !== undefined && answer.id !== job.call.id) {
          giveUp({ kind: 'lost', reason: 'answer to another request' });
          return;
        }
        head = answer;
        isStreaming = job.route.kind === 'stream' && status >= OK_FROM && status < OK_BELOW;
        expectBytes();
      },
      onData: (chunk) => {
        if (!head || isOver) {
          return;
        }
        const now = host.now();
        if (job.firstByteAt === undefined || !isStreaming) {
          host.onFirstByte(now, head);
        }
        notePiece(job, now);
        expectBytes();
        if (!isStreaming) {
          parts.push(chunk);
          return;
        }
        writeHead(head);
        if (splitter) {
          passEvents(chunk);
        } else {
          pass(chunk);
        }
      },
      onEnd: () => {
        if (!head) {
          end({ kind: 'lost', reason: 'no answer' });
        } else if (!isOver) {
          if (isStreaming) {
            writeHead(head);
          }
          end(finish(head));
        }
      },
      onError: (error) => {
        if (error.kind === 'lost' && isStreaming && job.isHeadWritten) {
          end({ kind: 'broken', reason: error.reason });
        } else {
          end(error);
        }
      },
    };

    const leftMs = job.deadlineAt - host.now();
    const cancelDeadline = host.setTimer(Math.max(0, leftMs), () => giveUp({ kind: 'deadline' }));
    expectBytes();
    const controls = host.send(Math.max(1, Math.floor(leftMs)), exchange);
    Object.assign(job, { leave: () => giveUp({ kind: 'callerLeft' }) });
    if (!controls) {
      end({ kind: 'notSent', reason: 'noConnection' });
    }
  });
}

function notePiece(job: ActiveRequest, now: number): void {
  const pauseMs = now - (job.lastByteAt ?? now);
  Object.assign(job, {
    firstByteAt: job.firstByteAt ?? now,
    lastByteAt: now,
    longestPauseMs: Math.max(job.longestPauseMs, pauseMs),
  });
}
