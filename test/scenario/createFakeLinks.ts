import type Message from '../../src/mesh/Message';
import type VirtualClock from './VirtualClock';

const LINK_DELAY_MS = 0.5;
const REDIAL_DELAY_MS = 250;

/** Creates fake links between VMs. Each direction is a separate link that can be cut or silenced. */
export default function createFakeLinks(
  clock: VirtualClock,
  deliver: (from: string, to: string, message: Message) => void,
) {
  const cutLinks = new Set<string>();
  const silentLinks = new Set<string>();
  const pendingRedials = new Set<string>();
  const getKey = (from: string, to: string) => `${from}>${to}`;

  function send(from: string, to: string, message: Message): boolean {
    const key = getKey(from, to);
    if (pendingRedials.has(key)) {
      return false;
    }
    if (cutLinks.has(key) || silentLinks.has(key)) {
      return true;
    }
    clock.setTimer(LINK_DELAY_MS, () => {
      if (!cutLinks.has(key)) {
        deliver(from, to, message);
      }
    });
    return true;
  }

  function redial(from: string, to: string): void {
    const key = getKey(from, to);
    pendingRedials.add(key);
    clock.setTimer(REDIAL_DELAY_MS, () => {
      pendingRedials.delete(key);
      silentLinks.delete(key);
    });
  }

  return {
    send,
    redial,
    cut: (from: string, to: string) => cutLinks.add(getKey(from, to)),
    heal: (from: string, to: string) => cutLinks.delete(getKey(from, to)),
    /** Makes the current link lose every message until it is redialled. */
    silence: (from: string, to: string) => silentLinks.add(getKey(from, to)),
  };
}
