import type CrashReport from './CrashReport';
import isRequestTrait from './isRequestTrait';
import SETTLE_MS from './SETTLE_MS';

/** Crashes of upstreams under one trait after which the trait is taken to cause them. */
const MIN_CRASHES = 3;
/**
 * Crashes at the same moment may have one cause outside, such as a power loss of a rack, unless the
 * request of one was sent after the other.
 */
const SAME_MOMENT_MS = 100;
/** VMs learn of crashes with different delays. */
const MAX_DELAY_DIFFERENCE_MS = 20;
/** A part of prompts is not suspected for this long after an upstream served a request with it. */
const SOUND_MS = 30_000;
const CRASH_MEMORY_MS = 600_000;
const MAX_SUSPECTS = 4096;
const MAX_SOUND_PARTS = 16_384;
const MAX_CRASHES = 32;

interface Crash {
  receivedAt: number;
  sentAt: number;
  lostAt: number;
}

interface Suspect {
  /** Greatest position of the trait among those of the requests concerned. */
  depth: number;
  /** By the incarnation of the upstream that ended. */
  crashes: Map<string, Crash>;
}

/**
 * Finds the trait that crashes upstreams, from the requests that upstreams lost as they ended and from
 * those that they served. Sound requests share parts of prompts with those that crash upstreams, and
 * others are lost by chance: a trait with which a request was served is cleared, and of the traits of
 * the same crashes, the last one explains them.
 */
export default function createSuspects() {
  const suspects = new Map<string, Suspect>();
  const soundAt = new Map<string, number>();
  /** Crashes whose cause is known. */
  const explained = new Map<string, true>();

  /** Records that a request with a trait was served; returns whether the trait was suspected. */
  function recordSuccess(now: number, trait: string): boolean {
    // A request that was served may crash upstreams later; then no other one needs its protection.
    if (!isRequestTrait(trait)) {
      setNewest(soundAt, trait, now, MAX_SOUND_PARTS);
    }
    return suspects.delete(trait);
  }

  function isSound(now: number, trait: string): boolean {
    return now - (soundAt.get(trait) ?? -Infinity) < SOUND_MS;
  }

  function recordCrash(now: number, { upstream, requests }: CrashReport): void {
    if (explained.has(upstream)) {
      return;
    }
    requests.forEach(({ traits, ageMs, ranMs }) => {
      const lostAt = now - ageMs;
      const crash = { receivedAt: now, lostAt, sentAt: lostAt - ranMs };
      traits
        .filter((trait) => !isSound(now, trait))
        .forEach((trait) => suspect(now, trait, traits.indexOf(trait), upstream, crash));
    });
  }

  function suspect(now: number, trait: string, depth: number, upstream: string, crash: Crash) {
    const known = suspects.get(trait) ?? { depth: 0, crashes: new Map<string, Crash>() };
    const former = known.crashes.get(upstream) ?? crash;
    known.depth = Math.max(known.depth, isRequestTrait(trait) ? Infinity : depth);
    known.crashes.set(upstream, {
      receivedAt: former.receivedAt,
      lostAt: Math.min(former.lostAt, crash.lostAt),
      sentAt: Math.max(former.sentAt, crash.sentAt),
    });
    removeExpiredCrashes(now, known);
    setNewest(suspects, trait, known, MAX_SUSPECTS);
  }

  /** Removes and returns the traits that are now known to crash upstreams. */
  function takeCulprits(now: number): string[] {
    const culprits: string[] = [];
    for (let found = getCulprits(now); found.length > 0; found = getCulprits(now)) {
      culprits.push(...found);
      found
        .flatMap((trait) => [...(suspects.get(trait)?.crashes.keys() ?? [])])
        .forEach(explainCrash);
    }
    return culprits;
  }

  /** Returns the traits that explain most; several if they do not differ in that. */
  function getCulprits(now: number): string[] {
    const candidates = [...suspects]
      .filter(([trait]) => !isSound(now, trait))
      .map(([trait, { depth, crashes }]) => ({ trait, depth, count: countMoments(now, crashes) }))
      .filter(({ count }) => count >= MIN_CRASHES)
      .sort((left, right) => compare(right.depth, left.depth) || right.count - left.count);
    const [first] = candidates;
    return candidates
      .filter(
        ({ trait, count }) =>
          trait === first.trait || (isRequestTrait(trait) && count === first.count),
      )
      .map(({ trait }) => trait);
  }

  /** Records that the cause of a crash is known, so that it raises no suspicion. */
  function explainCrash(upstream: string): void {
    setNewest(explained, upstream, true, MAX_SUSPECTS);
    suspects.forEach(({ crashes }, trait) => {
      crashes.delete(upstream);
      if (crashes.size === 0) {
        suspects.delete(trait);
      }
    });
  }

  return {
    recordSuccess,
    recordCrash,
    explainCrash,
    takeCulprits,
    isSound,
    getCount: () => suspects.size,
  };
}

/** Compares numbers that may be infinite. */
function compare(left: number, right: number): number {
  if (left === right) {
    return 0;
  }
  return left < right ? -1 : 1;
}

function removeExpiredCrashes(now: number, { crashes }: Suspect): void {
  [...crashes].forEach(([upstream, { receivedAt }], index) => {
    if (now - receivedAt > CRASH_MEMORY_MS || index < crashes.size - MAX_CRASHES) {
      crashes.delete(upstream);
    }
  });
}

/** Counts the settled crashes; those that may have the cause of the one before count with it. */
function countMoments(now: number, crashes: ReadonlyMap<string, Crash>): number {
  const settled = [...crashes.values()]
    .filter(({ receivedAt }) => now - receivedAt >= SETTLE_MS)
    .sort((left, right) => left.lostAt - right.lostAt);
  let count = 0;
  let momentAt = -Infinity;
  settled.forEach(({ lostAt, sentAt }) => {
    if (lostAt - momentAt >= SAME_MOMENT_MS || sentAt >= momentAt - MAX_DELAY_DIFFERENCE_MS) {
      count += 1;
      momentAt = lostAt;
    }
  });
  return count;
}

/** Sets a value as the newest one, and removes the oldest if there are more than `maxSize`. */
function setNewest<Value>(
  values: Map<string, Value>,
  key: string,
  value: Value,
  maxSize: number,
): void {
  values.delete(key);
  values.set(key, value);
  if (values.size > maxSize) {
    values.delete(values.keys().next().value!);
  }
}
