import type Message from '../../src/mesh/Message';
import type VirtualTime from './VirtualTime';

const HOP_MS = 0.5;
const REDIAL_MS = 250;

/** Fakes of the links between VMs: each direction is one link that can be cut or go silent. */
export default function createFakeLinks(
  time: VirtualTime,
  deliver: (from: string, to: string, message: Message) => void,
) {
  const cuts = new Set<string>();
  const silent = new Set<string>();
  const redialling = new Set<string>();
  const getKey = (from: string, to: string) => `${from}>${to}`;

  function send(from: string, to: string, message: Message): boolean {
    const key = getKey(from, to);
    if (redialling.has(key)) {
      return false;
    }
    if (cuts.has(key) || silent.has(key)) {
      return true;
    }
    time.setTimer(HOP_MS, () => {
      if (!cuts.has(key)) {
        deliver(from, to, message);
      }
    });
    return true;
  }

  function redial(from: string, to: string): void {
    const key = getKey(from, to);
    redialling.add(key);
    time.setTimer(REDIAL_MS, () => {
      redialling.delete(key);
      silent.delete(key);
    });
  }

  return {
    send,
    redial,
    cut: (from: string, to: string) => cuts.add(getKey(from, to)),
    heal: (from: string, to: string) => cuts.delete(getKey(from, to)),
    /** The present link loses everything from now on; a fresh one will work. */
    silence: (from: string, to: string) => silent.add(getKey(from, to)),
  };
}
