import type { IncomingMessage } from 'node:http';
import createGrowingBuffer from '../clientLimits/createGrowingBuffer';
import type createHeldBytes from '../clientLimits/createHeldBytes';
import type createReadTurns from '../clientLimits/createReadTurns';
import createSocketPauser from '../clientLimits/createSocketPauser';
import type Result from '../shared/Result';
import type Clock from '../shared/Clock';

const PAUSE_REASON = 'body';
const TURN_REASON = 'turn';
/** Chunks, and their mean size, from which a body is read in turn with others of small chunks. */
const TURN_CHUNKS = 4096;
const SMALL_CHUNK_BYTES = 64;

/** `stuck`, `overload`: the body was given up to free memory, as it did not progress or was large. */
type BodyError = 'oversize' | 'slowBody' | 'stuck' | 'overload';

/**
 * Reads the body of a Node request, within the limits of size and time. It avoids the web streams
 * of `readBody`, which take a third of the CPU time of a short request. With an account, the body
 * is held there until the function that is given to `onRelease` is called.
 */
export default function readIncomingBody(
  clock: Clock,
  incoming: IncomingMessage,
  limits: {
    maxBytes: number;
    timeoutMs: number;
    held?: ReturnType<typeof createHeldBytes>;
    turns?: ReturnType<typeof createReadTurns>;
    onRelease?(release: () => void): void;
  },
): Promise<Result<Buffer, BodyError>> {
  return new Promise((resolve) => {
    const declaredBytes = Number(incoming.headers['content-length'] ?? limits.maxBytes);
    const maxBytes = Math.min(limits.maxBytes, declaredBytes >= 0 ? declaredBytes : Infinity);
    const buffer = createGrowingBuffer({ maxBytes });
    const pauser = createSocketPauser(incoming.socket);
    let isEnded = false;
    let chunkCount = 0;
    let turnBytes = 0;
    let isWaiting = false;
    const entry = limits.held?.add(clock.now(), 'reading', {
      maxBytes,
      getProgress: buffer.getSize,
      pause: () => pauser.pause(PAUSE_REASON),
      resume: () => pauser.resume(PAUSE_REASON),
      close: (reason) => finish({ ok: false, error: reason === 'stuck' ? 'stuck' : 'overload' }),
    });
    const finish = (result: Result<Buffer, BodyError>) => {
      if (isEnded) {
        return;
      }
      isEnded = true;
      cancelTimer();
      incoming.off('data', handleChunk);
      pauser.resume(PAUSE_REASON);
      pauser.resume(TURN_REASON);
      if (result.ok) {
        entry?.complete(clock.now());
        limits.onRelease?.(() => entry?.release(clock.now()));
      } else {
        buffer.clear();
        entry?.release(clock.now());
        incoming.resume();
      }
      resolve(result);
    };
    const handleChunk = (chunk: Buffer) => {
      if (buffer.getSize() + chunk.length > limits.maxBytes) {
        finish({ ok: false, error: 'oversize' });
        return;
      }
      takeTurn(chunk.length);
      const capacity = buffer.getCapacity();
      buffer.append(chunk);
      if (buffer.getCapacity() !== capacity) {
        entry?.setBytes(clock.now(), buffer.getCapacity());
      }
    };
    const takeTurn = (bytes: number) => {
      chunkCount += 1;
      turnBytes += bytes;
      if (chunkCount < TURN_CHUNKS || isWaiting || !limits.turns) {
        return;
      }
      if (turnBytes < chunkCount * SMALL_CHUNK_BYTES) {
        isWaiting = true;
        pauser.pause(TURN_REASON);
        limits.turns.wait(() => {
          isWaiting = false;
          pauser.resume(TURN_REASON);
        });
      }
      chunkCount = 0;
      turnBytes = 0;
    };
    const cancelTimer = clock.setTimer(limits.timeoutMs, () =>
      finish({ ok: false, error: 'slowBody' }),
    );
    incoming.on('data', handleChunk);
    incoming.once('end', () => finish({ ok: true, value: buffer.getContent() }));
    incoming.once('error', () => finish({ ok: false, error: 'slowBody' }));
  });
}
