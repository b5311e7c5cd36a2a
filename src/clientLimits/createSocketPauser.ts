import type { Socket } from 'node:net';

interface SocketPauser {
  pause(reason: string): void;
  resume(reason: string): void;
}

const pausers = new WeakMap<Socket, SocketPauser>();

/**
 * Returns the pauser of a socket, which stops reading while there is at least one reason. The pause
 * takes effect after the chunk being parsed, since the parser resumes the socket after each chunk.
 */
export default function createSocketPauser(socket: Socket): SocketPauser {
  const known = pausers.get(socket);
  if (known) {
    return known;
  }
  const reasons = new Set<string>();
  const pauser = {
    pause: (reason: string) => {
      reasons.add(reason);
      setImmediate(() => {
        if (reasons.size > 0 && !socket.destroyed) {
          socket.pause();
        }
      });
    },
    resume: (reason: string) => {
      if (reasons.delete(reason) && reasons.size === 0 && !socket.destroyed) {
        socket.resume();
      }
    },
  };
  pausers.set(socket, pauser);
  return pauser;
}
