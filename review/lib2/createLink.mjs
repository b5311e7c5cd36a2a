import net from 'node:net';

/** Shortest time after which TCP sends a packet again; it doubles with each further try. */
const FIRST_RESEND_MS = 200;

/**
 * Creates a relay in front of a server that stands for the link to it. Where `isLost` returns true for bytes
 * of a caller, that packet is lost, and reaches the server when TCP sends it again. During a cut nothing
 * passes and no channel is opened; what was sent into it on an open channel passes when TCP tries again after
 * the cut. What follows on a channel waits behind. A caller that closes its channel doesn't take back what
 * it has sent; one that resets it does.
 */
export default function createLink({ target, isLost = () => false }) {
  const sockets = new Set();
  let isCut = false;

  async function resend() {
    for (let pauseMs = FIRST_RESEND_MS; ; pauseMs *= 2) {
      await new Promise((resolve) => {
        setTimeout(resolve, pauseMs);
      });
      if (!isCut) {
        return;
      }
    }
  }

  const server = net.createServer({ allowHalfOpen: true }, (caller) => {
    sockets.add(caller);
    caller.on('close', () => sockets.delete(caller));
    caller.on('error', () => {});
    if (isCut) {
      // The caller gets no answer on this channel, as if it had not been opened.
      caller.resume();
      return;
    }
    const upstream = net.connect({ ...target, allowHalfOpen: true });
    sockets.add(upstream);
    upstream.on('close', () => sockets.delete(upstream));
    let queue = Promise.resolve();
    let isReset = false;
    let hasEnded = false;
    const then = (step) => {
      queue = queue.then(() => {
        if (!isReset) {
          step();
        }
      });
    };
    caller.on('data', (chunk) => {
      if (isCut || isLost(chunk)) {
        queue = queue.then(resend);
      }
      then(() => upstream.write(chunk));
    });
    caller.on('end', () => {
      hasEnded = true;
      then(() => upstream.end());
    });
    caller.on('error', () => {
      isReset = true;
      upstream.resetAndDestroy();
    });
    upstream.on('data', (chunk) => {
      if (!caller.destroyed && !hasEnded && !isCut) {
        caller.write(chunk);
      }
    });
    upstream.on('end', () => {
      if (!hasEnded) {
        caller.end();
      }
    });
    upstream.on('error', () => caller.destroy());
    caller.setNoDelay(true);
    upstream.setNoDelay(true);
  });

  return {
    server,
    setCut: (isNowCut) => {
      isCut = isNowCut;
    },
    close: () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}
