import type CrashReport from './CrashReport';
import SETTLE_MS from './SETTLE_MS';

/** Crashes of engines under one part after which the part is taken to cause them. */
const MIN_CRASHES = 3;
/** Crashes at the same moment may have one cause outside, such as a power loss of a rack. */
const SAME_MOMENT_MS = 100;
/** A part is not suspected for this long after an engine served a request with it. */
const SOUND_MS = 30_000;
const CRASH_MEMORY_MS = 600_000;
const MAX_SUSPECTS = 4096;
const MAX_SOUND_PARTS = 16_384;
const MAX_CRASHES = 32;

interface Suspect {
  /** Greatest position of the part in the prompts concerned. */
  depth: number;
  /** Arrival time of the first report, by crash. */
  crashes: Map<string, number>;
}

/**
 * Finds the part of prompts that crashes engines, from the requests that engines lost as they ended
 * and from those that they served. Sound requests share parts with those that crash engines, and
 * others are lost by chance: a part with which a request was served is sound, and of the parts of
 * the same crashes, the last one in the prompt explains them.
 */
export default function createSuspects() {
  const suspects = new Map<string, Suspect>();
  const soundAt = new Map<string, number>();
  /** Crashes whose cause is known. */
  const explained = new Map<string, true>();

  function recordSuccess(now: number, parts: readonly string[]): void {
    parts.forEach((part) => {
      suspects.delete(part);
      setNewest(soundAt, part, now, MAX_SOUND_PARTS);
    });
  }

  function isSound(now: number, part: string): boolean {
    return now - (soundAt.get(part) ?? -Infinity) < SOUND_MS;
  }

  function recordCrash(now: number, { engine, parts }: CrashReport): void {
    if (explained.has(engine)) {
      return;
    }
    parts.forEach((part, depth) => {
      if (isSound(now, part)) {
        return;
      }
      const suspect = suspects.get(part) ?? { depth, crashes: new Map() };
      suspect.depth = Math.max(suspect.depth, depth);
      suspect.crashes.set(engine, suspect.crashes.get(engine) ?? now);
      removeExpiredCrashes(now, suspect);
      setNewest(suspects, part, suspect, MAX_SUSPECTS);
    });
  }

  /** Removes and returns the parts that are now known to crash engines. */
  function takeCulprits(now: number): string[] {
    const culprits: string[] = [];
    let culprit = tryGetCulprit(now);
    while (culprit !== undefined) {
      culprits.push(culprit);
      [...suspects.get(culprit)!.crashes.keys()].forEach(explainCrash);
      culprit = tryGetCulprit(now);
    }
    return culprits;
  }

  function tryGetCulprit(now: number): string | undefined {
    return [...suspects]
      .filter(
        ([part, { crashes }]) => !isSound(now, part) && countMoments(now, crashes) >= MIN_CRASHES,
      )
      .sort(([, left], [, right]) => right.depth - left.depth)[0]?.[0];
  }

  /** Records that the cause of a crash is known, so that it raises no suspicion. */
  function explainCrash(engine: string): void {
    setNewest(explained, engine, true, MAX_SUSPECTS);
    suspects.forEach((suspect, part) => {
      suspect.crashes.delete(engine);
      if (suspect.crashes.size === 0) {
        suspects.delete(part);
      }
    });
  }

  return { recordSuccess, recordCrash, explainCrash, takeCulprits, isSound };
}

function removeExpiredCrashes(now: number, { crashes }: Suspect): void {
  [...crashes].forEach(([engine, at], index) => {
    if (now - at > CRASH_MEMORY_MS || index < crashes.size - MAX_CRASHES) {
      crashes.delete(engine);
    }
  });
}

/** Counts the settled crashes; those that follow another within a moment count with it. */
function countMoments(now: number, crashes: ReadonlyMap<string, number>): number {
  const times = [...crashes.values()].filter((at) => now - at >= SETTLE_MS).sort((a, b) => a - b);
  let count = 0;
  let momentAt = -Infinity;
  times.forEach((at) => {
    if (at - momentAt >= SAME_MOMENT_MS) {
      count += 1;
      momentAt = at;
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
