import type Log from '../events/Log';
import type Metrics from '../metrics/Metrics';
import parseEngineAdapterName from '../owners/parseEngineAdapterName';
import type Clock from '../shared/Clock';
import type CompletionChunk from '../upstream/CompletionChunk';
import type EngineError from '../upstream/EngineError';
import type EngineClient from '../upstream/EngineClient';
import type Completion from './Completion';
import type createPlacementClient from './createPlacementClient';
import type Placement from './Placement';
import type RequestError from './RequestError';
import createReorderBuffer from './createReorderBuffer';
import createRetryBudget from './createRetryBudget';

const MAX_ATTEMPTS = 6;
const MAX_BUFFERED_CHUNKS = 4096;
const RETRY_AFTER_FAILURE_MS = 1000;
/** Time within which an engine must end a finished stream before the stream is cancelled. */
const FINISHED_STREAM_TIMEOUT_MS = 2000;

interface CompletionsHost extends Clock {
  engines: EngineClient;
  log: Log;
}

/** Receives the response to one completion as it is streamed. */
interface CompletionSink {
  onText(text: string): void;
  onEnd(finish: 'stop' | 'length', tokens: number): void;
  onError(error: RequestError, tokens: number): void;
  /** Pauses or resumes the engine's stream for a slow reader. Set when a stream is opened. */
  setPause?: (isPaused: boolean) => void;
}

type StreamEnd = { kind: 'finished' } | { kind: 'silent' } | { kind: 'error'; error: EngineError };

/** State of a completion across its attempts. */
interface Progress {
  /** Text received so far. */
  text: string;
  reorderBuffer: ReturnType<typeof createReorderBuffer>;
  finish: 'stop' | 'length' | undefined;
  isCancelled: boolean;
  isPaused: boolean;
  cancelStream: () => void;
}

/**
 * Runs completions on engines. Each is placed on an engine and streamed from there. A stream that
 * breaks or delivers nothing for too long is resumed from its offset on a new connection, and if an
 * engine fails, the completion continues on another one.
 */
export default function createCompletions(
  host: CompletionsHost,
  parts: { placementClient: ReturnType<typeof createPlacementClient>; metrics: Metrics },
  options: { firstTokenSilenceMs: number; silenceMs: number },
) {
  const { placementClient, metrics } = parts;
  const retryBudget = createRetryBudget();

  /** Starts a completion. Returns a function that cancels it. */
  function run(completion: Completion, sink: CompletionSink): () => void {
    const progress: Progress = {
      text: '',
      reorderBuffer: createReorderBuffer(MAX_BUFFERED_CHUNKS),
      finish: undefined,
      isCancelled: false,
      isPaused: false,
      cancelStream: () => {},
    };
    retryBudget.recordRequest();
    runAttempts(completion, sink, progress).catch((error: Error) => {
      host.log('unexpected', { request: completion.id, error: error.stack });
      const requestError = {
        reason: 'upstreamFailed',
        ran: 'unknown',
        retryAfterMs: 1000,
      } as const;
      sink.onError(requestError, progress.reorderBuffer.getNextOffset());
    });
    return () => {
      progress.isCancelled = true;
      progress.cancelStream();
    };
  }

  async function runAttempts(
    completion: Completion,
    sink: CompletionSink,
    progress: Progress,
  ): Promise<void> {
    const arrivedAt = host.now();
    let placement: Placement | undefined;
    let avoidedEngine: string | undefined;
    // True as long as no engine can have executed any part of the completion.
    let isUnexecuted = true;
    for (let attempt = 1; attempt <= MAX_ATTEMPTS && !progress.isCancelled; attempt += 1) {
      if (!placement) {
        const acquired = await placementClient.acquire(
          extendStartDeadline(completion, progress),
          avoidedEngine,
        );
        if (!acquired.ok) {
          sink.onError(
            getPlacementError(acquired.error, isUnexecuted),
            progress.reorderBuffer.getNextOffset(),
          );
          return;
        }
        placement = acquired.value;
        metrics.stall.observe((host.now() - arrivedAt) / 1000);
      }
      const end: StreamEnd = progress.isCancelled
        ? { kind: 'error', error: { kind: 'notSent', reason: 'completion was cancelled' } }
        : await stream(completion, placement, sink, progress, arrivedAt);
      if (end.kind === 'finished') {
        placement.release();
        sink.onEnd(progress.finish!, progress.reorderBuffer.getNextOffset());
        return;
      }
      const reason = end.kind === 'silent' ? 'silent' : end.error.kind;
      isUnexecuted = isUnexecuted && end.kind === 'error' && isErrorBeforeExecution(end.error);
      if (progress.isCancelled || !retryBudget.tryTake()) {
        break;
      }
      metrics.retries.inc({ reason });
      host.log('streamResumed', { request: completion.id, reason, engine: placement.engine });
      if (reason === 'missing') {
        placementClient.reportMissing(completion.pool, placement);
      }
      // An interrupted stream is first resumed on the same engine, which has computed the prefix.
      const isInterrupted = reason === 'silent' || reason === 'lost';
      if (!isInterrupted || attempt % 2 === 0) {
        avoidedEngine = reason === 'missing' ? undefined : placement.engine;
        placement.release();
        placement = undefined;
      }
    }
    placement?.release();
    const error: RequestError = {
      reason: 'upstreamFailed',
      ran: isUnexecuted ? 'no' : 'unknown',
      retryAfterMs: RETRY_AFTER_FAILURE_MS,
    };
    sink.onError(error, progress.reorderBuffer.getNextOffset());
  }

  /**
   * Returns the completion with at least 5 seconds left for a placement if its response has
   * started: `startBy` limits only the start of a response, and one that has started is worth
   * finishing.
   */
  function extendStartDeadline(completion: Completion, progress: Progress): Completion {
    return progress.reorderBuffer.getNextOffset() === 0
      ? completion
      : { ...completion, startBy: Math.max(completion.startBy, host.now() + 5000) };
  }

  /** Streams the rest of a completion from an engine. The promise resolves when the stream ends. */
  function stream(
    completion: Completion,
    placement: Placement,
    sink: CompletionSink,
    progress: Progress,
    arrivedAt: number,
  ): Promise<StreamEnd> {
    const offset = progress.reorderBuffer.getNextOffset();
    const expectedModel = `${completion.adapter}@${completion.version}`;
    return new Promise((resolve) => {
      let isOpen = true;
      let cancelTimer = () => {};
      const endStream = (end: StreamEnd) => {
        if (!isOpen) {
          return;
        }
        isOpen = false;
        cancelTimer();
        // The engine ends a finished stream itself, so that the connection can be reused.
        if (end.kind === 'finished') {
          host.setTimer(FINISHED_STREAM_TIMEOUT_MS, handle.cancel);
        } else {
          handle.cancel();
        }
        resolve(end);
      };
      // Ends the stream if no chunk arrives in time, unless the stream is paused.
      const startSilenceTimer = (delayMs: number) => {
        cancelTimer();
        cancelTimer = host.setTimer(delayMs, () => {
          if (progress.isPaused) {
            startSilenceTimer(delayMs);
          } else {
            endStream({ kind: 'silent' });
          }
        });
      };
      const handleChunk = (chunk: CompletionChunk) => {
        const dropReason = getDropReason(isOpen, chunk, completion.id, expectedModel);
        if (dropReason) {
          metrics.droppedChunks.inc({ reason: dropReason });
          host.log('chunkDropped', { request: completion.id, reason: dropReason });
          return;
        }
        startSilenceTimer(options.silenceMs);
        const ready = progress.reorderBuffer.add(chunk);
        if (!ready) {
          endStream({
            kind: 'error',
            error: { kind: 'failed', reason: 'completion stream has too many out-of-order chunks' },
          });
          return;
        }
        if (ready.length > 0 && progress.text === '') {
          metrics.firstToken.observe((host.now() - arrivedAt) / 1000);
        }
        ready.forEach(({ text, finish }) => {
          progress.text += text;
          progress.finish = finish ?? progress.finish;
          if (text !== '') {
            sink.onText(text);
          }
        });
        if (progress.finish) {
          endStream({ kind: 'finished' });
        }
      };
      const request = {
        id: completion.id,
        name: placement.name,
        path: completion.path,
        body: completion.body,
        priority: completion.priority,
        resume: offset > 0 ? { offset, text: progress.text } : undefined,
      };
      startSilenceTimer(options.firstTokenSilenceMs);
      const handle = host.engines.stream(placement.address, request, handleChunk, (error) =>
        endStream({
          kind: 'error',
          error: error ?? {
            kind: 'lost',
            reason: 'completion stream ended before the completion finished',
          },
        }),
      );
      progress.cancelStream = () =>
        endStream({ kind: 'error', error: { kind: 'lost', reason: 'completion was cancelled' } });
      Object.assign(sink, {
        setPause: (isPaused: boolean) => {
          progress.isPaused = isPaused;
          handle.setPaused(isPaused);
        },
      });
    });
  }

  return { run };
}

/** Returns why a chunk must be dropped, or undefined if it belongs to the open stream. */
function getDropReason(
  isOpen: boolean,
  chunk: CompletionChunk,
  id: string,
  expectedModel: string,
): 'oldStream' | 'foreignRequest' | 'foreignModel' | undefined {
  if (!isOpen) {
    return 'oldStream';
  }
  if (chunk.id !== id) {
    return 'foreignRequest';
  }
  return parseEngineAdapterName(chunk.model).model === expectedModel ? undefined : 'foreignModel';
}

/** Returns whether an error proves that the engine did not execute the request. */
function isErrorBeforeExecution(error: EngineError): boolean {
  return error.kind === 'notSent' || error.kind === 'missing' || error.kind === 'full';
}

/** Returns a placement error, with `ran` set to `unknown` if an earlier attempt may have run. */
function getPlacementError(error: RequestError, isUnexecuted: boolean): RequestError {
  return isUnexecuted ? error : { ...error, ran: 'unknown' };
}
