import type CallerRequest from '../../src/gateway/CallerRequest';
import type ResponseWriter from '../../src/gateway/ResponseWriter';
import type Clock from '../../src/shared/Clock';
import type ResponseHandler from '../../src/upstream/ResponseHandler';

const LINK_DELAY_MS = 1;

/** Forwards a request to another VM, and that VM's response, with the delay of a link. */
export default function forwardTestRequest(
  host: Clock & { handle(request: CallerRequest, response: ResponseWriter): () => void },
  request: CallerRequest,
  handler: ResponseHandler,
) {
  let isAborted = false;
  let abortCaller = () => {};
  const deliver = (callback: () => void) => {
    host.setTimer(LINK_DELAY_MS, () => {
      if (!isAborted) {
        callback();
      }
    });
  };
  deliver(() => {
    abortCaller = host.handle(request, {
      writeHead: (status, headers) =>
        deliver(() => handler.onHead(status, Object.fromEntries(headers))),
      write: (chunk) => {
        deliver(() => handler.onData(chunk));
        return true;
      },
      end: (body) =>
        deliver(() => {
          if (body) {
            handler.onData(body);
          }
          handler.onEnd();
        }),
      abort: () => deliver(() => handler.onError({ kind: 'lost', reason: 'reset' })),
      onDrain: () => {},
    });
  });
  return {
    abort: () => {
      isAborted = true;
      abortCaller();
    },
    pause: () => {},
    resume: () => {},
  };
}
