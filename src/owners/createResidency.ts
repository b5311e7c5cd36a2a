import type Message from '../mesh/Message';
import parseEngineAdapterName from './parseEngineAdapterName';

type Announcement = Extract<Message, { kind: 'residency' }>;
type Withdrawal = Extract<Message, { kind: 'withdraw' }>;

interface PoolResidency {
  owner: string;
  fence: number;
  sequence: number;
  engines: { engine: string; names: string[]; running: number }[];
}

/**
 * Stores the adapters that each pool's owner has announced, and the pins of this VM's own requests
 * on adapters. No request starts on a withdrawn adapter until its owner announces it again.
 */
export default function createResidency() {
  const pools = new Map<string, PoolResidency>();
  const pins = new Map<string, number>();

  /** Applies an owner's announcement if it is the latest. Returns whether it was applied. */
  function applyAnnouncement(from: string, message: Announcement): boolean {
    if (isOutdated(message)) {
      return false;
    }
    const { fence, sequence, engines, isWhole } = message;
    const known = pools.get(message.pool);
    const kept =
      isWhole || !known
        ? []
        : known.engines.filter(({ engine }) => !engines.some((entry) => entry.engine === engine));
    pools.set(message.pool, { owner: from, fence, sequence, engines: [...kept, ...engines] });
    return true;
  }

  function isOutdated(message: Announcement | Withdrawal): boolean {
    const known = pools.get(message.pool);
    return (
      known !== undefined &&
      (message.fence < known.fence ||
        (message.fence === known.fence && message.sequence <= known.sequence))
    );
  }

  /**
   * Removes an adapter that is to be evicted, so that no new request starts on it. Returns true,
   * without any change, if the adapter is pinned here or the sender is a former owner.
   */
  function applyWithdrawal(from: string, message: Withdrawal): boolean {
    const known = pools.get(message.pool);
    if (known && message.fence < known.fence) {
      // Reports the adapter as in use, so that a former owner does not evict it.
      return true;
    }
    if (isPinned(message.engine, message.name)) {
      return true;
    }
    const engines = (known?.engines ?? []).map((entry) =>
      entry.engine === message.engine
        ? { ...entry, names: entry.names.filter((name) => name !== message.name) }
        : entry,
    );
    const { fence, sequence } = message;
    pools.set(message.pool, { owner: from, fence, sequence, engines });
    return false;
  }

  function getKey(engine: string, name: string): string {
    return `${engine} ${name}`;
  }

  function isPinned(engine: string, name: string): boolean {
    return (pins.get(getKey(engine, name)) ?? 0) > 0;
  }

  /**
   * Pins an adapter for one request. Returns a function that removes the pin; calling it again has
   * no effect.
   */
  function pin(engine: string, name: string): () => void {
    const key = getKey(engine, name);
    pins.set(key, (pins.get(key) ?? 0) + 1);
    let isHeld = true;
    return () => {
      if (!isHeld) {
        return;
      }
      isHeld = false;
      const remaining = pins.get(key)! - 1;
      if (remaining === 0) {
        pins.delete(key);
      } else {
        pins.set(key, remaining);
      }
    };
  }

  /** Returns the engines that hold a model by the last announcement, least loaded first. */
  function getResidentEngines(pool: string, model: string): { engine: string; name: string }[] {
    return (pools.get(pool)?.engines ?? [])
      .map(({ engine, names, running }) => ({
        engine,
        running,
        name: names.find((name) => parseEngineAdapterName(name).model === model),
      }))
      .filter((entry): entry is typeof entry & { name: string } => entry.name !== undefined)
      .sort((left, right) => left.running - right.running);
  }

  return {
    applyAnnouncement,
    applyWithdrawal,
    isPinned,
    pin,
    getResidentEngines,
    tryGetPool: (pool: string): Readonly<PoolResidency> | undefined => pools.get(pool),
    getPools: () => [...pools].map(([pool, known]) => ({ pool, ...known })),
  };
}
