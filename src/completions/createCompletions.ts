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
import createChunkOrder from './createChunkOrder';
import createRetryBudget from './createRetryBudget';

const MAX_ATTEMPTS = 6;
const MAX_EARLY_CHUNKS = 4096;
const RETRY_AFTER_FAILURE_MS = 1000;
/** How long the connection of a whole answer may stay open. */
const LINGER_MS = 2000;

interface CompletionsHost extends Clock {
  engines: EngineClient;
  log: Log;
}

/** Takes the answer of one completion as it comes. */
interface Sink {
  onText(text: string): void;
  onEnd(finish: 'stop' | 'length', tokens: number): void;
  onError(error: RequestError, tokens: number): void;
  /** Set by the run: lets a slow reader hold the engine's stream back. */
  setPause?: (isPaused: boolean) => void;
}

type StreamEnd = { kind: 'finished' } | { kind: 'silent' } | { kind: 'error'; error: EngineError };

interface Progress {
  text: string;
  order: ReturnType<typeof createChunkOrder>;
  finish: 'stop' | 'length' | undefined;
  isCancelled: boolean;
  isPaused: boolean;
  cancelStream: () => void;
}

/**
 * Runs completions on engines: gets a place, streams, resumes a silent or broken stream from its
 * offset on a fresh connection, and moves to another engine when one fails.
 */
export default function createCompletions(
  host: CompletionsHost,
  parts: { places: ReturnType<typeof createPlacementClient>; metrics: Metrics },
  options: { firstTokenSilenceMs: number; silenceMs: number },
) {
  const { places, metrics } = parts;
  const retries = createRetryBudget();

  /** Starts a completion; the answer cancels it. */
  function run(completion: Completion, sink: Sink): () => void {
    const progress: Progress = {
      text: '',
      order: createChunkOrder(MAX_EARLY_CHUNKS),
      finish: undefined,
      isCancelled: false,
      isPaused: false,
      cancelStream: () => {},
    };
    retries.recordRequest();
    runAttempts(completion, sink, progress).catch((error: Error) => {
      host.log('unexpected', { request: completion.id, error: error.stack });
      const unknown = { reason: 'upstreamFailed', ran: 'unknown', retryAfterMs: 1000 } as const;
      sink.onError(unknown, progress.order.getNext());
    });
    return () => {
      progress.isCancelled = true;
      progress.cancelStream();
    };
  }

  async function runAttempts(
    completion: Completion,
    sink: Sink,
    progress: Progress,
  ): Promise<void> {
    const arrivedAt = host.now();
    let place: Placement | undefined;
    let avoid: string | undefined;
    let isFresh = true;
    for (let attempt = 1; attempt <= MAX_ATTEMPTS && !progress.isCancelled; attempt += 1) {
      if (!place) {
        const acquired = await places.acquire(getWanted(completion, progress), avoid);
        if (!acquired.ok) {
          sink.onError(getPlaceError(acquired.error, isFresh), progress.order.getNext());
          return;
        }
        place = acquired.value;
        metrics.stall.observe((host.now() - arrivedAt) / 1000);
      }
      const end: StreamEnd = progress.isCancelled
        ? { kind: 'error', error: { kind: 'notSent', reason: 'cancelled' } }
        : await stream(completion, place, sink, progress, arrivedAt);
      if (end.kind === 'finished') {
        place.release();
        sink.onEnd(progress.finish!, progress.order.getNext());
        return;
      }
      const reason = end.kind === 'silent' ? 'silent' : end.error.kind;
      isFresh = isFresh && end.kind === 'error' && isNotRun(end.error);
      if (progress.isCancelled || !retries.tryTake()) {
        break;
      }
      metrics.retries.inc({ reason });
      host.log('streamResumed', { request: completion.id, reason, engine: place.engine });
      if (reason === 'missing') {
        places.reportMissing(completion.pool, place);
      }
      // The same engine gets one more try after a broken stream: it has the prefix.
      const isLink = reason === 'silent' || reason === 'lost';
      if (!isLink || attempt % 2 === 0) {
        avoid = reason === 'missing' ? undefined : place.engine;
        place.release();
        place = undefined;
      }
    }
    place?.release();
    const error: RequestError = {
      reason: 'upstreamFailed',
      ran: isFresh ? 'no' : 'unknown',
      retryAfterMs: RETRY_AFTER_FAILURE_MS,
    };
    sink.onError(error, progress.order.getNext());
  }

  /** An answer that has begun is worth finishing beyond the time for its start. */
  function getWanted(completion: Completion, progress: Progress): Completion {
    return progress.order.getNext() === 0
      ? completion
      : { ...completion, startBy: Math.max(completion.startBy, host.now() + 5000) };
  }

  function stream(
    completion: Completion,
    place: Placement,
    sink: Sink,
    progress: Progress,
    arrivedAt: number,
  ): Promise<StreamEnd> {
    const offset = progress.order.getNext();
    const wantedModel = `${completion.adapter}@${completion.version}`;
    return new Promise((resolve) => {
      let isOpen = true;
      let cancelTimer = () => {};
      const close = (end: StreamEnd) => {
        if (!isOpen) {
          return;
        }
        isOpen = false;
        cancelTimer();
        // A whole answer ends its own connection, which can then be used again.
        if (end.kind === 'finished') {
          host.setTimer(LINGER_MS, handle.cancel);
        } else {
          handle.cancel();
        }
        resolve(end);
      };
      const watchSilence = (delayMs: number) => {
        cancelTimer();
        cancelTimer = host.setTimer(delayMs, () => {
          if (progress.isPaused) {
            watchSilence(delayMs);
          } else {
            close({ kind: 'silent' });
          }
        });
      };
      const takeChunk = (chunk: CompletionChunk) => {
        const dropped = getDropReason(isOpen, chunk, completion.id, wantedModel);
        if (dropped) {
          metrics.droppedChunks.inc({ reason: dropped });
          host.log('chunkDropped', { request: completion.id, reason: dropped });
          return;
        }
        watchSilence(options.silenceMs);
        const due = progress.order.take(chunk);
        if (!due) {
          close({ kind: 'error', error: { kind: 'failed', reason: 'too many early chunks' } });
          return;
        }
        if (due.length > 0 && progress.text === '') {
          metrics.firstToken.observe((host.now() - arrivedAt) / 1000);
        }
        due.forEach(({ text, finish }) => {
          progress.text += text;
          progress.finish = finish ?? progress.finish;
          if (text !== '') {
            sink.onText(text);
          }
        });
        if (progress.finish) {
          close({ kind: 'finished' });
        }
      };
      const order = {
        id: completion.id,
        name: place.name,
        path: completion.path,
        body: completion.body,
        priority: completion.priority,
        resume: offset > 0 ? { offset, text: progress.text } : undefined,
      };
      watchSilence(options.firstTokenSilenceMs);
      const handle = host.engines.stream(place.address, order, takeChunk, (error) =>
        close({ kind: 'error', error: error ?? { kind: 'lost', reason: 'ended early' } }),
      );
      progress.cancelStream = () =>
        close({ kind: 'error', error: { kind: 'lost', reason: 'cancelled' } });
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

function getDropReason(
  isOpen: boolean,
  chunk: CompletionChunk,
  id: string,
  model: string,
): 'oldStream' | 'foreignRequest' | 'foreignModel' | undefined {
  if (!isOpen) {
    return 'oldStream';
  }
  if (chunk.id !== id) {
    return 'foreignRequest';
  }
  return parseEngineAdapterName(chunk.model).model === model ? undefined : 'foreignModel';
}

/** Whether an engine certainly did no work for a request that ended so. */
function isNotRun(error: EngineError): boolean {
  return error.kind === 'notSent' || error.kind === 'missing' || error.kind === 'full';
}

function getPlaceError(error: RequestError, isFresh: boolean): RequestError {
  return isFresh ? error : { ...error, ran: 'unknown' };
}
