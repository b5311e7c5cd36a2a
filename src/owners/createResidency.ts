import type Message from '../mesh/Message';
import parseEngineName from './parseEngineName';

type Announcement = Extract<Message, { kind: 'residency' }>;
type Withdrawal = Extract<Message, { kind: 'withdraw' }>;

interface KnownPool {
  owner: string;
  fence: number;
  sequence: number;
  engines: { engine: string; names: string[]; running: number }[];
}

/**
 * What this VM knows of each pool from its owner, and the adapters that its own requests hold.
 * A name that was withdrawn is not started on again until its owner announces it anew.
 */
export default function createResidency() {
  const pools = new Map<string, KnownPool>();
  const pins = new Map<string, number>();

  /** Takes an owner's announcement unless a later one is known; says whether it was taken. */
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

  /** Stops new starts on an adapter that is to be evicted; says whether it is in use here. */
  function applyWithdrawal(from: string, message: Withdrawal): boolean {
    const known = pools.get(message.pool);
    if (known && message.fence < known.fence) {
      // A former owner must not learn that it may evict.
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

  /** Holds an adapter for one request; the answer lets it go, once. */
  function pin(engine: string, name: string): () => void {
    const key = getKey(engine, name);
    pins.set(key, (pins.get(key) ?? 0) + 1);
    let isHeld = true;
    return () => {
      if (!isHeld) {
        return;
      }
      isHeld = false;
      const left = pins.get(key)! - 1;
      if (left === 0) {
        pins.delete(key);
      } else {
        pins.set(key, left);
      }
    };
  }

  /** The engines that hold a model, by the last announcement, least loaded first. */
  function getCandidates(pool: string, model: string): { engine: string; name: string }[] {
    return (pools.get(pool)?.engines ?? [])
      .map(({ engine, names, running }) => ({
        engine,
        running,
        name: names.find((name) => parseEngineName(name).model === model),
      }))
      .filter((entry): entry is typeof entry & { name: string } => entry.name !== undefined)
      .sort((left, right) => left.running - right.running);
  }

  return {
    applyAnnouncement,
    applyWithdrawal,
    isPinned,
    pin,
    getCandidates,
    tryGetPool: (pool: string): Readonly<KnownPool> | undefined => pools.get(pool),
    getPools: () => [...pools].map(([pool, known]) => ({ pool, ...known })),
  };
}
