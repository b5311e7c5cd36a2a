import { expect } from 'chai';
import type ActiveRequest from '../../src/gateway/ActiveRequest';
import sendAttempt from '../../src/gateway/sendAttempt';
import type Route from '../../src/manifest/Route';
import type ResponseHandler from '../../src/upstream/ResponseHandler';
import createVirtualClock from '../scenario/createVirtualClock';

const SILENCE_MS = 1000;
const BODY_BYTES = 2 * 1024 * 1024;
const STREAM = { kind: 'stream', isResumable: true } as const;
const EVENT = Buffer.from('id: 1\ndata: x\n\n');

describe('an upstream that sends nothing for a time', () => {
  // Guards against a pause of this VM that is taken for silence of the upstream.
  it('is not given up while the caller does not read', async () => {
    const attempt = createAttempt({ kind: 'idempotent', isResumable: false });
    attempt.handler.onHead(200, {});
    attempt.handler.onData(Buffer.alloc(BODY_BYTES));
    await attempt.clock.advance(5 * SILENCE_MS);
    attempt.drain();
    attempt.handler.onData(Buffer.alloc(1));
    attempt.handler.onEnd();
    expect(await attempt.outcome).to.deep.include({ kind: 'done' });
  });

  it('is not given up in a response that no other attempt can go on with', async () => {
    const attempt = createAttempt({ kind: 'idempotent', isResumable: false });
    attempt.handler.onHead(200, {});
    attempt.handler.onData(Buffer.alloc(BODY_BYTES));
    attempt.drain();
    await attempt.clock.advance(2 * SILENCE_MS);
    attempt.handler.onEnd();
    expect(await attempt.outcome).to.deep.include({ kind: 'done' });
  });

  it('is not given up in a stream until a retry is allowed', async () => {
    const attempt = createAttempt(STREAM);
    attempt.handler.onHead(200, {});
    attempt.handler.onData(EVENT);
    attempt.setRetryAllowed(false);
    await attempt.clock.advance(3 * SILENCE_MS);
    attempt.handler.onData(EVENT);
    attempt.setRetryAllowed(true);
    await attempt.clock.advance(SILENCE_MS);
    expect(await attempt.outcome).to.deep.equal({ kind: 'silent' });
  });
});

/** Creates an attempt whose caller reads nothing until `drain` is called. */
function createAttempt(route: Pick<Route, 'kind' | 'isResumable'>) {
  const clock = createVirtualClock();
  let handler!: ResponseHandler;
  let drain = () => {};
  let isRetryAllowed = true;
  const outcome = sendAttempt(
    {
      ...clock,
      isRetryAllowed: () => isRetryAllowed,
      send: (_, responseHandler) => {
        handler = responseHandler;
        return { abort: () => {}, pause: () => {}, resume: () => {} };
      },
      decodeHead: (status) =>
        ({ status, headers: [], isNotRun: false }) as unknown as ReturnType<
          Parameters<typeof sendAttempt>[0]['decodeHead']
        >,
      onHead: () => {},
      onFirstByte: () => {},
      onFirstEvent: () => {},
    },
    {
      route,
      callerRequest: { id: '1', method: 'GET' },
      deadlineAt: clock.now() + 60_000,
      isHeadWritten: false,
      longestPauseMs: 0,
      response: {
        writeHead: () => {},
        write: (bytes: Buffer) => bytes.length < BODY_BYTES,
        end: () => {},
        abort: () => {},
        onDrain: (callback: () => void) => {
          drain = callback;
        },
      },
    } as unknown as ActiveRequest,
    SILENCE_MS,
  );
  return {
    clock,
    outcome,
    handler,
    drain: () => drain(),
    setRetryAllowed: (isAllowed: boolean) => {
      isRetryAllowed = isAllowed;
    },
  };
}
